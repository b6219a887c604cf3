package slots

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

type quotaHost struct {
	w     *quotaWorld
	index int
	name  string
	key   string
	up    bool
	core  *scheduler.Core
	part  *participation
	log   *quota.Log
	inbox []quotaMessage
	// sessions are those of the hosts at this scheduler.
	sessions map[int]*quotaSession
	// scheduler is the host that this one uses, by the session of the given number.
	scheduler, session int
	lastHeard          time.Duration
	backoff            map[int]time.Duration
	pending            map[string]*quotaRequest
	lastRecord         map[string]time.Duration
	recordsRead        time.Duration
	standbys           map[int]int
}

func (h *quotaHost) frozen() bool {
	return h.w.faults.frozen != nil && h.w.faults.frozen(h.index, h.w.now)
}

func (h *quotaHost) down() bool { return h.w.faults.down != nil && h.w.faults.down(h.index, h.w.now) }

func (h *quotaHost) storeCut() bool {
	return h.w.faults.storeCut != nil && h.w.faults.storeCut(h.index, h.w.now)
}

// start begins a process that knows nothing.
func (h *quotaHost) start() {
	h.w.seq++
	h.up, h.key = true, fmt.Sprintf("%s.%d", h.name, h.w.seq)
	o := quotaOptions
	o.Self = h.key
	h.core = scheduler.NewCore(scheduler.Options{Host: h.name, Quota: o})
	h.part = newParticipation()
	h.log = quota.NewLog(h.w.clock(), quotaOptions)
	h.inbox, h.sessions = nil, make(map[int]*quotaSession)
	h.backoff, h.pending = make(map[int]time.Duration), make(map[string]*quotaRequest)
	h.lastRecord, h.recordsRead = make(map[string]time.Duration), 0
	h.standbys = nil
	h.scheduler = -1
	h.attach(h.index)
}

// attach moves the host to a scheduler.
func (h *quotaHost) attach(to int) {
	w := h.w
	if old := h.scheduler; old >= 0 && w.hosts[old].up && w.reaches(h.index, old) {
		target, number, key := w.hosts[old], h.session, w.hosts[old].key
		w.post(h.index, old, number, func(at time.Duration) {
			if target.key == key {
				target.leave(h.index, number, at, closed)
			}
		})
	}
	w.seq++
	h.scheduler, h.session, h.lastHeard = to, w.seq, w.now
	h.part.superseded = to != h.index
	target, number := w.hosts[to], h.session
	hello := &scheduler.Hello{Host: h.name, Admitted: h.log.Reports(w.clock())}
	if w.planted.noHistory {
		hello.Admitted = nil
	}
	w.post(h.index, to, number, func(at time.Duration) { target.join(h.index, number, hello, at) })
	for _, r := range h.pending {
		h.ask(r)
	}
}

func (h *quotaHost) ask(r *quotaRequest) {
	target, request := h.w.hosts[h.scheduler], r.request
	h.w.post(h.index, h.scheduler, h.session, func(time.Duration) {
		target.core.RequestPermit(h.w.clock(), h.name, request)
		target.answer()
	})
}

func (h *quotaHost) join(host, number int, hello *scheduler.Hello, at time.Duration) {
	replaced := h.sessions[host] != nil
	h.sessions[host] = &quotaSession{number: number, lastSeen: at}
	h.part.join(h.w.clock(), hello.Host)
	h.updateShare()
	if replaced {
		h.core.Leave(h.w.clock(), hello.Host)
	}
	h.core.Join(h.w.clock(), hello)
	h.answer()
}

func (h *quotaHost) leave(host, number int, seen time.Duration, cause absenceCause) {
	s := h.sessions[host]
	if s == nil || s.number != number {
		return
	}
	delete(h.sessions, host)
	name := h.w.hosts[host].name
	h.part.leave(name, absence{since: time.Unix(1000, 0).Add(seen), cause: cause})
	h.updateShare()
	h.core.Leave(h.w.clock(), name)
	h.answer()
}

func (h *quotaHost) updateShare() {
	if len(h.part.joined) == 0 {
		return
	}
	var hosts []peers.Host
	for _, o := range h.w.hosts {
		if at, found := h.lastRecord[o.name]; found && h.recordsRead-at < peers.Expiry {
			hosts = append(hosts, peers.Host{Name: o.name})
		}
	}
	last := func(name string) time.Time {
		if at, found := h.lastRecord[name]; found {
			return time.Unix(1000, 0).Add(at)
		}
		return time.Time{}
	}
	readUntil := time.Time{}
	if h.recordsRead > 0 {
		readUntil = time.Unix(1000, 0).Add(h.recordsRead)
	}
	c := h.part.count(h.w.clock(), readUntil, hosts, last)
	share := c.rateShare(h.part.countClosed(readUntil, hosts, last))
	if h.w.planted.noShare {
		share = 1
	}
	h.core.SetShare(h.w.clock(), c.share(), share, true)
}

// answer sends the decisions of the core to the hosts.
func (h *quotaHost) answer() {
	for _, e := range h.core.Effects() {
		p, ok := e.(scheduler.Permit)
		if !ok {
			continue
		}
		index := slices.IndexFunc(h.w.hosts, func(o *quotaHost) bool { return o.name == p.Host })
		s := h.sessions[index]
		if s == nil || !h.w.reaches(h.index, index) {
			continue
		}
		target, key, number, by := h.w.hosts[index], h.w.hosts[index].key, s.number, h.key
		h.w.post(h.index, index, number+1<<40, func(at time.Duration) {
			if target.key != key || target.session != number {
				return
			}
			target.answered(&p, by, at)
		})
	}
}

func (h *quotaHost) answered(p *scheduler.Permit, by string, at time.Duration) {
	r := h.pending[p.ID]
	if r == nil {
		return
	}
	delete(h.pending, p.ID)
	if p.Refusal != nil {
		h.w.refused[r.tenant]++
		return
	}
	h.log.Add(h.w.clock(), by, r.request.Claim.Workspace)
	h.w.admittedSent[r.tenant] = append(h.w.admittedSent[r.tenant], r.sent)
	h.w.admittedAt[r.tenant] = append(h.w.admittedAt[r.tenant], at)
}

// process executes what a host does in a step.
func (h *quotaHost) process() {
	w := h.w
	if h.down() {
		if h.up {
			h.up = false
		}
		return
	}
	if !h.up {
		h.start()
	}
	if h.frozen() {
		return
	}
	if !h.storeCut() && w.now%(100*time.Millisecond) == 0 {
		for _, name := range w.written {
			h.lastRecord[name] = max(1, w.now)
		}
		h.recordsRead = max(1, w.now-100*time.Millisecond)
	}
	h.readMessages()
	h.watch()
	if w.now%(100*time.Millisecond) == 0 {
		h.elect()
		h.updateShare()
		h.replicate()
	}
	if w.now%(20*time.Millisecond) == 0 && h.core.Busy() {
		h.core.Tick(w.clock())
	}
	h.answer()
}

func (h *quotaHost) readMessages() {
	for {
		due := h.inbox
		h.inbox = nil
		slices.SortStableFunc(due, func(a, b quotaMessage) int { return int(a.at - b.at) })
		n := 0
		for n < len(due) && due[n].at <= h.w.now {
			due[n].deliver(due[n].at)
			n++
		}
		h.inbox = append(due[n:], h.inbox...)
		if n == 0 {
			return
		}
	}
}

// watch notes which sessions have ended.
func (h *quotaHost) watch() {
	w := h.w
	for host, s := range h.sessions {
		o := w.hosts[host]
		switch {
		case host == h.index:
		case !o.up || o.session < s.number:
			if w.now-s.lastSeen > closeSeen && w.reaches(host, h.index) {
				h.leave(host, s.number, s.lastSeen, closed)
			}
		case w.reaches(host, h.index) && !o.frozen():
			s.lastSeen = w.now
		}
		if host != h.index && w.now-s.lastSeen > hostTimeout {
			h.leave(host, s.number, s.lastSeen, timedOut)
		}
	}
	if h.scheduler == h.index {
		return
	}
	s := w.hosts[h.scheduler]
	switch known := s.sessions[h.index]; {
	case s.up && !s.frozen() && w.reaches(h.index, s.index):
		if known != nil && known.number == h.session || w.now-h.lastHeard < schedulerTimeout {
			h.lastHeard = w.now
			return
		}
	case !s.up && w.reaches(h.index, s.index) && w.now-h.lastHeard > closeSeen:
		h.part.prevTimedOut = false
		h.attach(h.index)
		return
	}
	if w.now-h.lastHeard > schedulerTimeout {
		h.part.prevTimedOut = true
		h.attach(h.index)
	}
}

// elect attaches to the first host that is reached.
func (h *quotaHost) elect() {
	w := h.w
	for _, o := range w.hosts {
		if o.index == h.index {
			break
		}
		if o.index == h.scheduler {
			return
		}
		if w.now < h.backoff[o.index] {
			continue
		}
		if o.up && !o.frozen() && w.reaches(h.index, o.index) {
			h.attach(o.index)
			return
		}
		h.backoff[o.index] = w.now + maxBackoff
	}
	if h.scheduler != h.index {
		h.attach(h.index)
	}
}

// replicate tells the hosts that may schedule next what was admitted.
func (h *quotaHost) replicate() {
	if h.w.planted.noReplicas || h.core.Quotas().Len() == 0 {
		h.standbys = nil
		return
	}
	fresh, all := h.core.Quotas().Fresh(h.w.clock()), h.core.Quotas().Admitted(h.w.clock())
	standbys := make(map[int]int)
	for _, o := range h.w.hosts {
		s := h.sessions[o.index]
		if s == nil || o.index == h.index || len(standbys) >= maxStandbys || !h.w.reaches(h.index, o.index) {
			continue
		}
		report := fresh
		if h.standbys[o.index] != s.number {
			report = all
		}
		standbys[o.index] = s.number
		if !report.Empty() {
			target, key := o, o.key
			h.w.post(h.index, o.index, s.number+1<<40, func(time.Duration) {
				if target.key == key {
					target.core.Quotas().Replicate(h.w.clock(), &report)
				}
			})
		}
	}
	h.standbys = standbys
}
