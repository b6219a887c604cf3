package slots

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/scheduler"
)

// Stranded tells whether a host reaches no endpoint itself.
type Stranded struct {
	Stranded bool `json:"stranded"`
	// For is how long it has been so.
	For time.Duration `json:"for,omitempty"`
}

// ReportStranded reports to the scheduler whether this host reaches no endpoint itself.
func (c *Client) ReportStranded(stranded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strandedSince = time.Time{}
	if stranded {
		c.strandedSince = time.Now()
	}
	if c.link != nil {
		c.link.send(HostMessage{Stranded: &Stranded{Stranded: stranded}})
	}
}

// setStranded records whether a host reaches no endpoint itself.
func (l *LocalScheduler) setStranded(now time.Time, host string, s Stranded, c *scheduler.Core) {
	c.SetStranded(now, host, s.Stranded, s.For)
	_ = level.Info(l.logger).Log("event", "host_stranded", "peer", host, "stranded", s.Stranded)
}
