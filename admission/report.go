package admission

import (
	"encoding/json"
	"time"

	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/membership"
)

// Kinds of gossip entries published by this package.
const (
	// KindLoad is the kind of a Report, gossiped within the region.
	KindLoad gossip.Kind = "load"
	// KindZoneLoad is the kind of a ZoneReport, gossiped to all regions.
	KindZoneLoad gossip.Kind = "zone-load"
)

const (
	// unchangedReportInterval is the interval at which an unchanged report is
	// published again, so that readers can distinguish an unchanged report
	// from a lost one.
	unchangedReportInterval = time.Second
	// zoneReportInterval is the minimum interval between reports to other regions.
	zoneReportInterval = 2 * time.Second
)

// Report lists the loads of all endpoints that have the reporting host as home.
type Report struct {
	Loads []Load `json:"loads"`
}

// ZoneLoad is the sum of the loads of endpoints in one availability zone.
type ZoneLoad struct {
	Zone      string `json:"z"`
	Endpoints int    `json:"n"`
	Sum       Load   `json:"sum"`
}

// ZoneReport aggregates the loads of one host's homes by availability zone.
type ZoneReport struct {
	Zones []ZoneLoad `json:"zones"`
}

// Reporter gossips the loads of this host's homes: in full within the region,
// aggregated by zone to all regions. It is not safe for concurrent use.
type Reporter struct {
	store *gossip.Store
	view  func() *membership.View

	lastData         string
	publishedAt      time.Time
	zonesPublishedAt time.Time
}

// NewReporter returns a Reporter that publishes to store.
func NewReporter(store *gossip.Store, view func() *membership.View) *Reporter {
	return &Reporter{store: store, view: view}
}

// Report publishes loads within the region if they changed or after
// unchangedReportInterval, and their sums by zone after zoneReportInterval.
func (r *Reporter) Report(loads []Load) {
	now := time.Now()
	// Encoding cannot fail: loads hold only numbers and strings.
	data, _ := json.Marshal(Report{Loads: loads})
	if string(data) != r.lastData || now.Sub(r.publishedAt) >= unchangedReportInterval {
		r.lastData, r.publishedAt = string(data), now
		r.store.Publish(KindLoad, "homes", gossip.ScopeRegion, data)
	}
	if now.Sub(r.zonesPublishedAt) < zoneReportInterval {
		return
	}
	r.zonesPublishedAt = now
	zoneData, _ := json.Marshal(r.sum(loads))
	r.store.Publish(KindZoneLoad, "homes", gossip.ScopeGlobal, zoneData)
}

func (r *Reporter) sum(loads []Load) ZoneReport {
	view := r.view()
	byZone := make(map[string]*ZoneLoad)
	var out ZoneReport
	for i := range loads {
		host, found := view.ByName(loads[i].Endpoint)
		if !found {
			continue
		}
		if byZone[host.Zone] == nil {
			byZone[host.Zone] = &ZoneLoad{Zone: host.Zone}
		}
		byZone[host.Zone].Add(&loads[i])
	}
	for _, z := range byZone {
		out.Zones = append(out.Zones, *z)
	}
	return out
}

// Add adds the load of one endpoint. It counts l as one endpoint even if l is a
// sum; see Merge.
func (z *ZoneLoad) Add(l *Load) {
	z.Endpoints++
	z.Sum.Slots += l.Slots
	z.Sum.Limit += l.Limit
	z.Sum.Running += l.Running
	z.Sum.Batch += l.Batch
	z.Sum.Waiting += l.Waiting
	z.Sum.WaitingBatch += l.WaitingBatch
}

// Merge adds the sums reported by another host for the same zone.
func (z *ZoneLoad) Merge(o *ZoneLoad) {
	count := z.Endpoints + o.Endpoints
	z.Add(&o.Sum)
	z.Endpoints = count
}

// Mean returns the mean load of an endpoint of the zone, rounded down.
func (z *ZoneLoad) Mean() Load {
	n := max(z.Endpoints, 1)
	return Load{
		Slots:        z.Sum.Slots / n,
		Limit:        z.Sum.Limit / n,
		Running:      z.Sum.Running / n,
		Batch:        z.Sum.Batch / n,
		Waiting:      z.Sum.Waiting / n,
		WaitingBatch: z.Sum.WaitingBatch / n,
	}
}
