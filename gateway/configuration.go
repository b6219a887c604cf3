package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// confirmTimeout bounds the confirming read before an answer that says there is
// no route.
const confirmTimeout = 500 * time.Millisecond

// revocationWaits is how many reads of the configuration fit into the bound on revocation. A host
// that is cut off during a read knows a confirmation that may be two reads old. With ten of them
// it goes on for most of the bound, also if the store takes 60 times as long as usual.
const revocationWaits = 10

// configurationWait returns how long a read of the configuration waits at the store, by the bound
// on the revocation of keys.
func configurationWait(revocation time.Duration) time.Duration {
	if revocation <= 0 {
		return followWait
	}
	return min(followWait, revocation/revocationWaits)
}

// newConfirmationAge returns the metric of how old the last confirmation of the configuration is.
func newConfirmationAge(f *follow.Follower) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "peridotmount_configuration_confirmed_age_seconds",
		Help: "Time since the last read was sent that confirmed that the configuration is the newest; -1 before the first.",
	}, func() float64 {
		sent := f.ConfirmedSent()
		if sent.IsZero() {
			return -1
		}
		return clock.Now().Sub(sent).Seconds()
	})
}

// configuration holds the newest configuration that this process has seen. Its
// version only rises.
type configuration struct {
	logger   log.Logger
	current  atomic.Pointer[route.Configuration]
	follower *follow.Follower
	// started is asked to open with the first configuration.
	started *starting
	// adopted is called with each new configuration.
	adopted func(*route.Configuration)
}

// Current implements forward.Configuration.
func (c *configuration) Current() *route.Configuration {
	return c.current.Load()
}

// Confirm implements forward.Configuration.
func (c *configuration) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return c.follower.Refresh(ctx)
}

// Confirmed implements forward.Configuration. The follower hands a new configuration over before it
// counts the read that brought it.
func (c *configuration) Confirmed() (sent time.Time, reachable bool) {
	return c.follower.ConfirmedSent(), c.follower.Reachable()
}

// Listed implements follow.Handler.
func (c *configuration) Listed(now time.Time, records []platform.KeyedRecord, _ int64) {
	c.Changed(now, records)
}

// Changed implements follow.Handler.
func (c *configuration) Changed(_ time.Time, records []platform.KeyedRecord) {
	for i := range records {
		if records[i].Key == platform.KeyConfiguration && !records[i].Deletes() {
			c.adopt(&records[i])
		}
	}
}

func (c *configuration) adopt(r *platform.KeyedRecord) {
	next, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		_ = level.Error(c.logger).Log("event", "configuration_refused", "offset", r.Offset, "err", err)
		return
	}
	current := c.current.Load()
	if current != nil && next.Version <= current.Version {
		return
	}
	c.current.Store(next)
	c.started.check()
	_ = level.Info(c.logger).Log("event", "configuration_adopted", "version", next.Version, "offset", r.Offset,
		"routes", len(next.Routes), "services", len(next.Services))
	_ = level.Debug(c.logger).Log("event", "configuration", "record", string(platform.RedactConfiguration(r.Value)))
	c.adopted(next)
}

// Lost implements follow.Handler.
func (c *configuration) Lost(time.Time) {}

// Regained implements follow.Handler.
func (c *configuration) Regained(time.Time) {}
