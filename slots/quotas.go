package slots

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

const (
	// permitTimeout is how long a host waits for a permit. A scheduler that has ended is replaced
	// within about half of it, and the next one is asked again.
	permitTimeout = 800 * time.Millisecond
	// announcementTimeout is how long after the start of a session a scheduler counts as one of
	// an older build, which keeps no quotas, if it has not announced that it does.
	announcementTimeout = 500 * time.Millisecond
	// permitRetry is the Retry-After of requests whose permit was not answered.
	permitRetry = time.Second
	// replicateAdmissionsInterval is the time between two replications of what was admitted. A
	// scheduler that ends together with the hosts of its requests takes what it admitted since
	// with it.
	replicateAdmissionsInterval = 100 * time.Millisecond
)

// hostQuotas is what a Client keeps of the quotas of workspaces.
type hostQuotas struct {
	// admitted is what schedulers admitted for this host.
	admitted *quota.Log
	// alone decides by this host's equal share of the limits while the scheduler keeps no quotas;
	// aloneSelf identifies it as a scheduler.
	alone     *quota.Table
	aloneSelf string
	// answeredBy is the last link whose scheduler announced that it keeps quotas, attachedAt
	// when the present session began. reported is the link whose scheduler was logged as one
	// that does not.
	answeredBy link
	attachedAt time.Time
	reported   link
	pending    map[string]*pendingPermit
}

func newHostQuotas(o quota.Options) hostQuotas {
	alone := o
	alone.Self += "/alone"
	return hostQuotas{
		admitted: quota.NewLog(time.Now(), o), alone: quota.NewTable(alone), aloneSelf: alone.Self, pending: make(map[string]*pendingPermit),
	}
}

// pendingPermit is a request for a permit that was not answered yet.
type pendingPermit struct {
	request scheduler.PermitRequest
	answer  chan *quota.Refusal
	// admittedBy is the incarnation of the scheduler that admitted the request, at admittedAt.
	admittedBy string
	admittedAt time.Time
}

func (p *pendingPermit) send(l link) {
	request := p.request
	l.send(HostMessage{Permit: &request})
}

// Permit is the admission of a request that needs no slot.
type Permit struct {
	id, workspace string
	// scheduler is the incarnation that admitted, at the given time.
	scheduler string
	at        time.Time
	client    *Client
}

// Return gives back the permit of a request that was not sent.
func (p *Permit) Return() {
	c := p.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.quotas.admitted.Remove(now, p.scheduler, p.workspace, p.at)
	switch {
	case p.scheduler == c.quotas.aloneSelf:
		c.quotas.alone.Refund(now, p.workspace, p.at)
	case c.link != nil && c.link.incarnation() == p.scheduler:
		// Another scheduler did not charge for it.
		c.link.send(HostMessage{PermitReturn: p.id})
	}
}

// AcquirePermit waits until a request that needs no slot is admitted within the quota of its
// workspace. It returns a *RefusedError, or the error of ctx. If the scheduler is of a build that
// keeps no quotas, this host decides by an equal share of the limit. If one that does gives no
// answer within permitTimeout, the request is refused: it may have been admitted elsewhere.
func (c *Client) AcquirePermit(ctx context.Context, claim quota.Claim) (*Permit, error) {
	p := &pendingPermit{answer: make(chan *quota.Refusal, 1)}
	p.request.Claim = claim
	begun := time.Now()
	c.mu.Lock()
	if c.keepsNoQuotas(begun) {
		defer c.mu.Unlock()
		return c.permitAlone(begun, &claim)
	}
	c.seq++
	p.request.ID = fmt.Sprintf("%s.%s.p%d", c.opts.Self.Name, c.opts.Self.Incarnation, c.seq)
	c.quotas.pending[p.request.ID] = p
	if c.link != nil {
		p.send(c.link)
	}
	c.mu.Unlock()
	timeout := time.NewTimer(permitTimeout)
	defer timeout.Stop()
	unannounced := time.NewTimer(announcementTimeout)
	defer unannounced.Stop()
	for {
		select {
		case refusal := <-p.answer:
			return c.permitOf(p, refusal)
		case <-unannounced.C:
			if permit, decided, err := c.giveUpOldScheduler(p); decided {
				return permit, err
			}
		case <-timeout.C:
			c.withdrawPermit(p.request.ID)
			return nil, &RefusedError{Reason: scheduler.ReasonNoPermit, RetryAfter: permitRetry, Scheduler: c.Scheduler()}
		case <-ctx.Done():
			c.withdrawPermit(p.request.ID)
			return nil, ctx.Err()
		}
	}
}

// permitOf returns the result of a request for a permit that was answered.
func (c *Client) permitOf(p *pendingPermit, refusal *quota.Refusal) (*Permit, error) {
	if refusal != nil {
		return nil, &RefusedError{Reason: scheduler.ReasonQuota, RetryAfter: refusal.RetryAfter, Scheduler: c.Scheduler(), Quota: refusal}
	}
	return &Permit{id: p.request.ID, workspace: p.request.Claim.Workspace, scheduler: p.admittedBy, at: p.admittedAt, client: c}, nil
}

// handlePermit passes an answer on to the request that waits for it. Called with mu locked.
func (c *Client) handlePermit(m *scheduler.Permit) {
	p := c.quotas.pending[m.ID]
	if p == nil {
		return
	}
	delete(c.quotas.pending, m.ID)
	if m.Refusal == nil {
		p.admittedBy, p.admittedAt = c.link.incarnation(), time.Now()
		c.quotas.admitted.Add(p.admittedAt, p.admittedBy, p.request.Claim.Workspace)
	}
	p.answer <- m.Refusal
}

// withdrawPermit gives up waiting for a permit.
func (c *Client) withdrawPermit(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.quotas.pending, id)
	if c.link != nil {
		c.link.send(HostMessage{PermitReturn: id})
	}
}

// keepsNoQuotas reports whether the scheduler is of a build that keeps no quotas. Called with mu
// locked.
func (c *Client) keepsNoQuotas(now time.Time) bool {
	return c.link != nil && c.quotas.answeredBy != c.link && now.Sub(c.quotas.attachedAt) >= announcementTimeout
}

// giveUpOldScheduler decides on a request for a permit whose scheduler keeps no quotas, and
// reports whether it did.
func (c *Client) giveUpOldScheduler(p *pendingPermit) (permit *Permit, decided bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.quotas.pending[p.request.ID] == nil || !c.keepsNoQuotas(now) {
		return nil, false, nil
	}
	delete(c.quotas.pending, p.request.ID)
	permit, err = c.permitAlone(now, &p.request.Claim)
	return permit, true, err
}

// permitAlone decides by this host's equal share of the limit. Called with mu locked.
func (c *Client) permitAlone(now time.Time, claim *quota.Claim) (*Permit, error) {
	if refused := c.chargeAlone(now, claim); refused != nil {
		return nil, refused
	}
	return &Permit{workspace: claim.Workspace, scheduler: c.quotas.aloneSelf, at: now, client: c}, nil
}

// admitAlone decides on a request for a slot whose scheduler keeps no quotas, and removes its
// claim. Called with mu locked.
func (c *Client) admitAlone(now time.Time, request *scheduler.SlotRequest) error {
	if request.Claim == nil || !c.keepsNoQuotas(now) {
		return nil
	}
	if refused := c.chargeAlone(now, request.Claim); refused != nil {
		return refused
	}
	request.Claim = nil
	return nil
}

// chargeAlone charges a request to this host's equal share of the limit. Called with mu locked.
func (c *Client) chargeAlone(now time.Time, claim *quota.Claim) error {
	if c.quotas.reported != c.link {
		c.quotas.reported = c.link
		_ = level.Warn(c.opts.Logger).Log("event", "scheduler_without_quotas", "scheduler", c.link.scheduler(),
			"decision", "this host admits its equal share of each limit")
	}
	c.quotas.alone.SetShare(now, 1/float64(max(1, len(c.opts.Directory.Hosts()))))
	if refusal := c.quotas.alone.Charge(now, claim); refusal != nil {
		return &RefusedError{Reason: scheduler.ReasonQuota, RetryAfter: refusal.RetryAfter, Scheduler: c.opts.Self.Name, Quota: refusal}
	}
	c.quotas.admitted.Add(now, c.quotas.aloneSelf, claim.Workspace)
	return nil
}

// admissionReplicas sends what was admitted to the hosts that may schedule next. Only the
// goroutine of LocalScheduler.Serve uses it.
type admissionReplicas struct {
	// standbys are the sessions of the hosts that were sent all of the last window.
	standbys map[string]*hostSession
	next     time.Time
}

// replicateAdmissions sends the standbys what was admitted since the last replication, and those
// that are new the whole window.
func (l *LocalScheduler) replicateAdmissions(now time.Time) {
	r := &l.admissions
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(replicateAdmissionsInterval)
	table := l.core.Quotas()
	if table.Len() == 0 {
		r.standbys = nil
		return
	}
	fresh := table.Fresh(now)
	var all *quota.Report
	standbys := l.standbys(l.hosts.Hosts())
	for name, s := range standbys {
		report := &fresh
		if r.standbys[name] != s {
			if all == nil {
				whole := table.Admitted(now)
				all = &whole
			}
			report = all
		}
		if !report.Empty() {
			s.deliver(SchedulerMessage{Admitted: report})
		}
	}
	r.standbys = standbys
}

// replicate records what another scheduler admitted.
func (l *LocalScheduler) replicate(r *quota.Report) {
	l.enqueue(func(now time.Time, c *scheduler.Core) { c.Quotas().Replicate(now, r) })
}
