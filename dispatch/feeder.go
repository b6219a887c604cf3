package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/gossip"
)

const (
	// loadInterval is the polling interval for load reports of endpoints in the
	// gossip store, zoneInterval that for aggregated reports of zones.
	loadInterval = 50 * time.Millisecond
	zoneInterval = time.Second
)

// Feeder passes the load reports that homes publish by gossip to a Dispatcher's
// routing tables. It is a suture service.
type Feeder struct {
	d        *Dispatcher
	store    *gossip.Store
	versions map[string]gossip.Version
}

// NewFeeder returns a Feeder that reads from store and updates d.
func NewFeeder(d *Dispatcher, store *gossip.Store) *Feeder {
	return &Feeder{d: d, store: store, versions: make(map[string]gossip.Version)}
}

// Serve implements suture.Service.
func (f *Feeder) Serve(ctx context.Context) error {
	loadTicker := time.NewTicker(loadInterval)
	defer loadTicker.Stop()
	zoneTicker := time.NewTicker(zoneInterval)
	defer zoneTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-loadTicker.C:
			f.applyLoads()
		case <-zoneTicker.C:
			f.applyZoneLoads()
		}
	}
}

// isNew reports whether an entry is newer than the last one seen of its kind and
// origin, and remembers its version if so.
func (f *Feeder) isNew(e *gossip.Entry) bool {
	key := string(e.Kind) + " " + e.Origin
	last, found := f.versions[key]
	if found && !last.Before(e.Version) {
		return false
	}
	f.versions[key] = e.Version
	return true
}

func (f *Feeder) applyLoads() {
	for _, e := range f.store.All(admission.KindLoad) {
		if !f.isNew(&e) {
			continue
		}
		var r admission.Report
		// An entry written by another release may not decode; skip it.
		if json.Unmarshal(e.Data, &r) != nil {
			continue
		}
		for i := range r.Loads {
			f.d.router.report(&r.Loads[i])
		}
	}
}

func (f *Feeder) applyZoneLoads() {
	zones := make(map[string]*admission.ZoneLoad)
	changed := false
	for _, e := range f.store.All(admission.KindZoneLoad) {
		changed = f.isNew(&e) || changed
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
	if !changed {
		return
	}
	for zone, z := range zones {
		mean := z.Mean()
		f.d.router.reportZone(zone, &mean)
	}
}
