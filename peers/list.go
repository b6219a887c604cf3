package peers

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
)

// List is a platform.HostList that is read from the platform's store: the records
// of the system's hosts and of the endpoints. A host whose record stands still for
// Expiry is left out, once the list has been read for as long.
type List struct {
	store platform.Lister
	now   func() time.Time

	mu sync.Mutex
	// beats holds by host when its record was seen to change last.
	beats map[string]beat
	// read is when the list was read last.
	read time.Time
}

// beat is a host's record and when it was seen first.
type beat struct {
	incarnation string
	number      int64
	seen        time.Time
}

// NewList returns a List.
func NewList(l platform.Lister) *List {
	return &List{store: l, now: time.Now, beats: make(map[string]beat)}
}

// Hosts implements platform.HostList. Records that can't be read name nobody.
func (l *List) Hosts(ctx context.Context) ([]platform.Host, error) {
	own, err := platform.ListAll(ctx, l.store, platform.TopicHosts)
	if err != nil {
		return nil, err
	}
	endpoints, err := platform.ListAll(ctx, l.store, platform.TopicEndpoints)
	if err != nil {
		return nil, err
	}
	l.noteRead()
	out := make([]platform.Host, 0, len(own)+len(endpoints))
	regions := make(map[string]string)
	for i := range own {
		h, err := decodeHost(own[i].Key, own[i].Offset, own[i].Value)
		if err != nil {
			continue
		}
		regions[h.Zone] = h.Region
		if l.alive(&h) {
			out = append(out, h.listed())
		}
	}
	for i := range endpoints {
		if e, err := platform.DecodeListedEndpoint(endpoints[i]); err == nil {
			out = append(out, listedEndpoint(&e, regions[e.Zone]))
		}
	}
	return out, nil
}

// noteRead gives the hosts time to write again after the store was away.
func (l *List) noteRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.read) > Expiry {
		for name, b := range l.beats {
			b.seen = now
			l.beats[name] = b
		}
	}
	l.read = now
}

// alive reports whether the host's record has changed within Expiry.
func (l *List) alive(h *Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	old, found := l.beats[h.Name]
	if !found || old.incarnation != h.Incarnation || old.number != h.Beat {
		l.beats[h.Name] = beat{incarnation: h.Incarnation, number: h.Beat, seen: now}
		return true
	}
	return now.Sub(old.seen) <= Expiry
}

// listed returns the host as an entry of the host list.
func (h *Host) listed() platform.Host {
	out := platform.Host{
		Name: h.Name, Role: platform.RoleSystem, State: platform.HostLive, Zone: h.Zone, Region: h.Region,
		Address: h.Address, OperatorAddress: h.Operators, Incarnation: h.Joined,
	}
	if h.Leaving {
		out.State = platform.HostLeaving
	}
	return out
}

func listedEndpoint(e *endpoint.Endpoint, region string) platform.Host {
	out := platform.Host{
		Name: e.ID, Role: platform.RolePlain, State: platform.HostLive, Zone: e.Zone, Region: region,
		Address: e.Address, Service: e.Service, Slots: e.Slots, Incarnation: e.Started.UnixMilli(), SoftwareVersion: e.Version,
	}
	if e.Engine {
		out.Role, out.Service = platform.RoleEngine, ""
	}
	if e.State == endpoint.Draining {
		out.State = platform.HostLeaving
	}
	return out
}
