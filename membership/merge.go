package membership

import (
	"sort"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// merge returns the hosts and endpoints at now, sorted by name.
func (t *Table) merge(now time.Time) []platform.Host {
	out := make([]platform.Host, 0, len(t.listed))
	timeout := stretch(t.opts.HeartbeatTimeout, len(t.peers))
	for name, l := range t.listed {
		if l.gone {
			continue
		}
		h := l.host
		switch {
		case h.Role == platform.RoleSystem:
			t.mergeSystem(&h, l, now, timeout)
		case t.leavingEndpoint(name, l):
			h.State = platform.HostLeaving
		case t.dead(name, &h, now):
			continue
		}
		out = append(out, h)
	}
	out = t.unlisted(out, now, timeout)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// mergeSystem sets the state of a listed host of the system. A host that is
// not heard of counts as live for one timeout only, whatever the list says.
func (t *Table) mergeSystem(h *platform.Host, l *listed, now time.Time, timeout time.Duration) {
	h.State = platform.HostLive
	if h.Name == t.opts.Self {
		if t.draining {
			h.State = platform.HostLeaving
		}
		return
	}
	heard := l.first
	if p := t.peers[h.Name]; p != nil {
		heard = p.heard
		if p.leaving {
			h.State = platform.HostLeaving
		}
	}
	switch {
	case l.leaving:
		h.State = platform.HostLeaving
	case h.State == platform.HostLive && now.Sub(heard) >= timeout:
		h.State = platform.HostSilent
	}
}

// unlisted adds the hosts of the system that are heard of but that the list,
// which lags, never held.
func (t *Table) unlisted(out []platform.Host, now time.Time, timeout time.Duration) []platform.Host {
	for name, p := range t.peers {
		if t.listed[name] != nil || p.leaving || p.Address == "" || now.Sub(p.heard) >= timeout {
			continue
		}
		out = append(out, platform.Host{
			Name: name, Role: platform.RoleSystem, State: platform.HostLive,
			Zone: p.Zone, Region: p.Region,
			Address: p.Address, OperatorAddress: p.OperatorAddress,
			Incarnation: p.Incarnation,
		})
	}
	return out
}

// leavingEndpoint reports whether a run of an endpoint was seen leaving, and
// remembers it.
func (t *Table) leavingEndpoint(name string, l *listed) bool {
	for _, s := range t.observed[name] {
		if s.incarnation == l.host.Incarnation && s.condition == Leaving {
			l.leaving = true
		}
	}
	return l.leaving
}

// dead reports whether an endpoint is to be passed over at now: this host saw it
// dead, or several others did.
func (t *Table) dead(name string, h *platform.Host, now time.Time) bool {
	observers := 0
	for observer, s := range t.observed[name] {
		if s.incarnation != h.Incarnation || s.condition != Dead || now.Sub(s.at) >= t.opts.DeadTTL {
			continue
		}
		if observer == t.opts.Self {
			return true
		}
		observers++
	}
	return observers >= deadQuorum
}

// expire forgets what is too old to count.
func (t *Table) expire(now time.Time) {
	for name, byObserver := range t.observed {
		for observer, s := range byObserver {
			if now.Sub(s.at) >= memory || s.condition != Leaving && now.Sub(s.at) >= t.opts.DeadTTL {
				delete(byObserver, observer)
			}
		}
		if len(byObserver) == 0 {
			delete(t.observed, name)
		}
	}
	for name, p := range t.peers {
		if now.Sub(p.heard) >= memory {
			delete(t.peers, name)
		}
	}
}

func sameHosts(a, b []platform.Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
