package scheduler

import "time"

// Sent is a request that a host sent to an endpoint. Endpoints with a rate limit count it.
type Sent struct {
	Endpoint string `json:"endpoint"`
	// Age is the time since the slot for it was granted.
	Age time.Duration `json:"age"`
}

// observeSent counts what a joining host sent under earlier schedulers.
func (c *Core) observeSent(now time.Time, sent []Sent) {
	for _, r := range sent {
		if s := c.endpoints[r.Endpoint]; s != nil && s.pacer != nil {
			s.pacer.Observe(now, now.Add(-r.Age))
		}
	}
}
