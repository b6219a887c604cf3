package quota

import "time"

// Options configures a Table. All hosts have the same.
type Options struct {
	// Self identifies the scheduler that the Table belongs to, in the reports of hosts.
	Self string
	// Window is the time over which quotas are checked, Overrun and Slack by what fraction and
	// by how many requests more than a quota may be admitted in it.
	Window  time.Duration
	Overrun float64
	Slack   int
}

// defaultWindow is the window if none is set.
const defaultWindow = 5 * time.Second

func (o Options) withDefaults() Options {
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return o
}

// binWidth is the width of the bins in which admissions are counted.
func (o *Options) binWidth() time.Duration {
	return o.Window / windowBins
}

// rate returns the rate of a bucket in requests per second. Half of what a quota may be exceeded
// by is used for the bucket, so that requests that come in another order, or under another
// scheduler, than they were sent in are not refused. The other half is for what two schedulers
// don't know of each other.
func (o *Options) rate(requestsPerSecond float64) float64 {
	return requestsPerSecond * (1 + o.Overrun/2)
}

// capacity returns the capacity of a bucket; see rate. A bucket holds at least one request.
func (o *Options) capacity(burst float64) float64 {
	return max(1, burst*(1+o.Overrun/2)+float64(o.Slack)/2)
}
