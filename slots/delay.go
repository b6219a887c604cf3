package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/throttle"
)

// maxDrift is how much of the time between two messages the clocks of two machines may drift apart.
const maxDrift = 1.0 / 5000

// stamper stamps the messages of one end of a session with the time since its start.
type stamper struct {
	start time.Time
}

func newStamper() stamper { return stamper{start: clock.Now()} }

// now returns the stamp of a message that is made now. It is never zero, which means none.
func (s stamper) now() time.Duration {
	return max(1, clock.Now().Sub(s.start))
}

// delay measures for how long the messages of a session were on their way, beyond the fastest one: a
// process that stands still reads messages late, whose ages are as of when they were made.
type delay struct {
	started bool
	// least is the least difference between the clocks of receiver and sender, as seen at the time at.
	least time.Duration
	at    time.Time
}

// of returns the delay of a message that has a stamp and is read now; zero if it has none.
func (d *delay) of(now time.Time, stamp time.Duration) time.Duration {
	if stamp == 0 {
		return 0
	}
	difference := now.Sub(time.Unix(0, 0)) - stamp
	least := d.least + time.Duration(maxDrift*float64(now.Sub(d.at)))
	if !d.started || difference <= least {
		d.started, d.least, d.at = true, difference, now
		return 0
	}
	return difference - least
}

// addDelay makes what the message tells of as old as it is.
func (m *HostMessage) addDelay(d time.Duration) {
	addAge(m.Limits, d)
	if m.Crash != nil {
		m.Crash.Age += d
	}
	if m.Hello != nil {
		for i := range m.Hello.Failing {
			m.Hello.Failing[i].Age += d
		}
	}
	for i := range m.Answers {
		m.Answers[i].Age += d
	}
}

// addDelay makes what the message tells of as old as it is.
func (m *SchedulerMessage) addDelay(d time.Duration) {
	addAge(m.Limits, d)
	if m.Broadcast != nil {
		for i := range m.Broadcast.Convictions {
			m.Broadcast.Convictions[i].Left -= d
		}
	}
}

func addAge(notices []throttle.Notice, d time.Duration) {
	for i := range notices {
		notices[i].Age += d
	}
}

// hasAges reports whether the message tells how old something is.
func (m *HostMessage) hasAges() bool {
	return m.Hello != nil || m.Crash != nil || len(m.Answers) > 0 || len(m.Limits) > 0
}

// hasAges reports whether the message tells how old something is.
func (m *SchedulerMessage) hasAges() bool {
	return m.Broadcast != nil || len(m.Limits) > 0
}
