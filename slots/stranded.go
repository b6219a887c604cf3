package slots

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/scheduler"
)

// ReportStranded reports to the scheduler whether this host reaches no endpoint itself.
func (c *Client) ReportStranded(stranded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stranded = stranded
	if c.link != nil {
		c.link.send(HostMessage{Stranded: &stranded})
	}
}

// setStranded records whether a host reaches no endpoint itself.
func (l *LocalScheduler) setStranded(now time.Time, host string, stranded bool, c *scheduler.Core) {
	c.SetStranded(now, host, stranded)
	_ = level.Info(l.logger).Log("event", "host_stranded", "peer", host, "stranded", stranded)
}
