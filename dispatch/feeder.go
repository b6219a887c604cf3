package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/gossip"
)

const (
	// feedInterval is the time between looks at the gossip, zoneInterval that
	// between looks at the coarse reports.
	feedInterval = 50 * time.Millisecond
	zoneInterval = time.Second
)

// Feeder takes the load that homes gossip into a Dispatcher's routing. It is a
// suture service.
type Feeder struct {
	d     *Dispatcher
	store *gossip.Store
	seen  map[string]gossip.Version
}

// NewFeeder returns a Feeder from store to d.
func NewFeeder(d *Dispatcher, store *gossip.Store) *Feeder {
	return &Feeder{d: d, store: store, seen: make(map[string]gossip.Version)}
}

// Serve implements suture.Service.
func (f *Feeder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	zones := time.NewTicker(zoneInterval)
	defer zones.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.feed()
		case <-zones.C:
			f.feedZones()
		}
	}
}

// news reports whether an entry is newer than the last one of its origin.
func (f *Feeder) news(e *gossip.Entry) bool {
	key := string(e.Kind) + " " + e.Origin
	last, found := f.seen[key]
	if found && !last.Before(e.Version) {
		return false
	}
	f.seen[key] = e.Version
	return true
}

func (f *Feeder) feed() {
	for _, e := range f.store.All(admission.KindLoad) {
		if !f.news(&e) {
			continue
		}
		var r admission.Report
		// An entry of another release that cannot be read is no news.
		if json.Unmarshal(e.Data, &r) != nil {
			continue
		}
		for i := range r.Loads {
			f.d.router.report(&r.Loads[i])
		}
	}
}

func (f *Feeder) feedZones() {
	zones := make(map[string]*admission.ZoneLoad)
	fresh := false
	for _, e := range f.store.All(admission.KindZoneLoad) {
		fresh = f.news(&e) || fresh
		var r admission.ZoneReport
		if json.Unmarshal(e.Data, &r) != nil {
			continue
		}
		for i := range r.Zones {
			z := &r.Zones[i]
			if zones[z.Zone] == nil {
				zones[z.Zone] = &admission.ZoneLoad{Zone: z.Zone}
			}
			zones[z.Zone].Merge(z)
		}
	}
	if !fresh {
		return
	}
	for zone, z := range zones {
		mean := z.Mean()
		f.d.router.reportZone(zone, &mean)
	}
}
