package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

const (
	// settleTime is how long after its first host joined a scheduler without the whole of the
	// limits waits for the others before it refuses a request for its quota. Hosts that lost
	// their scheduler agree on the next one, and join it, within that time.
	settleTime = 400 * time.Millisecond
	// permitRetention is how long an admitted permit is kept, to be given back or asked for
	// again: longer than a caller waits for it.
	permitRetention = 2 * time.Second
	// maxPermitsKept and maxParked bound what is kept of permits and of requests that wait for
	// the other hosts.
	maxPermitsKept = 50_000
	maxParked      = 4096
)

// PermitRequest asks for a request that needs no slot to be admitted within the quota of its
// workspace.
type PermitRequest struct {
	// ID identifies the permit; it is unique across all hosts.
	ID    string      `json:"id"`
	Claim quota.Claim `json:"claim"`
}

// Permit answers a PermitRequest.
type Permit struct {
	Host string `json:"-"`
	ID   string `json:"id"`
	// Refusal tells why the request is not admitted; nil if it is.
	Refusal *quota.Refusal `json:"refusal,omitempty"`
}

// To implements Effect.
func (p Permit) To() string { return p.Host }

// quotas keeps the quotas of workspaces for a Core.
type quotas struct {
	table *quota.Table
	// permits are those admitted of late; order lists them by age.
	permits map[string]admission
	order   []string
	// parked are the requests that would be refused and wait for other hosts to join, until
	// settleUntil.
	parked      []*parkedClaim
	settleUntil time.Time
}

// admission is a charge that may be refunded.
type admission struct {
	workspace string
	at        time.Time
}

// parkedClaim is a SlotRequest or a PermitRequest of a host.
type parkedClaim struct {
	host   string
	at     time.Time
	slot   *SlotRequest
	permit *PermitRequest
}

// id returns the ticket or the id of the permit.
func (p *parkedClaim) id() string {
	if p.slot != nil {
		return p.slot.Ticket
	}
	return p.permit.ID
}

func newQuotas(o quota.Options) quotas {
	return quotas{table: quota.NewTable(o), permits: make(map[string]admission)}
}

// Quotas returns the table of the workspaces' quotas.
func (c *Core) Quotas() *quota.Table { return c.quotas.table }

// settles reports whether hosts are still expected to join, so that the share is smaller than it
// will be.
func (c *Core) settles(now time.Time) bool {
	return now.Before(c.quotas.settleUntil) && c.rateShare < 1 && len(c.quotas.parked) < maxParked
}

// charge admits or refuses a request, or parks it while hosts are still expected to join. Only a refusal
// counts as one: a parked request is tried many times.
func (c *Core) charge(now time.Time, claim *quota.Claim, p *parkedClaim) (refusal *quota.Refusal, parked bool) {
	if !c.settles(now) {
		return c.quotas.table.Charge(now, claim), false
	}
	if c.quotas.table.TryCharge(now, claim) {
		return nil, false
	}
	c.quotas.parked = append(c.quotas.parked, p)
	return nil, true
}

// chargeSlot charges a request to its workspace's quota. It returns false if the request was
// refused, or has to wait for other hosts to join.
func (c *Core) chargeSlot(now time.Time, host string, request *SlotRequest) bool {
	if request.Claim == nil {
		return true
	}
	refusal, parked := c.charge(now, request.Claim, &parkedClaim{host: host, at: now, slot: request})
	if parked {
		return false
	}
	if refusal == nil {
		return true
	}
	v := c.service(request.Service)
	c.emit(Refuse{
		Host: host, Ticket: request.Ticket, Reason: ReasonQuota, RetryAfter: refusal.RetryAfter,
		Load: v.load(now, c.share, len(v.queue)), Quota: refusal,
	})
	return false
}

// refund takes back the charge of a request that was not granted a slot.
func (c *Core) refund(now time.Time, w *waiter) {
	if w.Claim != nil {
		c.quotas.table.Refund(now, w.Claim.Workspace, w.chargedAt)
	}
}

// RequestPermit handles a request for a permit. It is idempotent.
func (c *Core) RequestPermit(now time.Time, host string, request PermitRequest) {
	if c.members[host] == nil || c.isParked(request.ID) {
		return
	}
	c.forfeitAccrued(now)
	c.expirePermits(now)
	if _, admitted := c.quotas.permits[request.ID]; admitted {
		c.emit(Permit{Host: host, ID: request.ID})
		return
	}
	refusal, parked := c.charge(now, &request.Claim, &parkedClaim{host: host, at: now, permit: &request})
	if parked {
		return
	}
	if refusal == nil {
		c.quotas.permits[request.ID] = admission{workspace: request.Claim.Workspace, at: now}
		c.quotas.order = append(c.quotas.order, request.ID)
	}
	c.emit(Permit{Host: host, ID: request.ID, Refusal: refusal})
}

// ReturnPermit takes back the charge of a permit that is not used, or no longer waited for.
func (c *Core) ReturnPermit(now time.Time, id string) {
	if c.unpark(id) {
		return
	}
	if a, found := c.quotas.permits[id]; found {
		delete(c.quotas.permits, id)
		c.quotas.table.Refund(now, a.workspace, a.at)
	}
}

// expirePermits drops the permits that are older than permitRetention.
func (c *Core) expirePermits(now time.Time) {
	q := &c.quotas
	old := 0
	for ; old < len(q.order); old++ {
		a, found := q.permits[q.order[old]]
		if found && now.Sub(a.at) < permitRetention && len(q.order)-old < maxPermitsKept {
			break
		}
		delete(q.permits, q.order[old])
	}
	q.order = q.order[old:]
}

// retryParked decides again on the requests that waited for other hosts to join.
func (c *Core) retryParked(now time.Time) {
	parked := c.quotas.parked
	if len(parked) == 0 {
		return
	}
	c.quotas.parked = nil
	for _, p := range parked {
		switch {
		case p.permit != nil:
			c.RequestPermit(now, p.host, *p.permit)
		default:
			request := *p.slot
			waited := now.Sub(p.at)
			request.Elapsed += waited
			request.Left -= waited
			c.Acquire(now, p.host, request)
		}
	}
}

func (c *Core) isParked(id string) bool {
	for _, p := range c.quotas.parked {
		if p.id() == id {
			return true
		}
	}
	return false
}

// unpark drops a request that waits for other hosts to join, and reports whether it was there.
func (c *Core) unpark(id string) bool {
	for i, p := range c.quotas.parked {
		if p.id() == id {
			c.quotas.parked = append(c.quotas.parked[:i], c.quotas.parked[i+1:]...)
			return true
		}
	}
	return false
}

// unparkHost drops the requests of a host that has left.
func (c *Core) unparkHost(host string) {
	kept := c.quotas.parked[:0]
	for _, p := range c.quotas.parked {
		if p.host != host {
			kept = append(kept, p)
		}
	}
	clear(c.quotas.parked[len(kept):])
	c.quotas.parked = kept
}
