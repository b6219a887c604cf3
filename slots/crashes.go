package slots

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
)

const (
	// crashReportRetention is how long a host repeats its reports of crashes to each new
	// scheduler, maxCrashReports how many: a scheduler that takes over knows of none.
	crashReportRetention = 30 * time.Second
	maxCrashReports      = 64
)

// crashReport is a report of a crash and when it was made.
type crashReport struct {
	crash blame.Crash
	at    time.Time
}

// ReportCrash reports to the scheduler a request that was in progress at an endpoint that
// crashed.
func (c *Client) ReportCrash(crash blame.Crash) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, crashReport{crash: crash, at: now})
	if len(c.crashes) > maxCrashReports {
		c.crashes = c.crashes[1:]
	}
	if c.link != nil {
		c.link.send(HostMessage{Crash: &crash})
	}
}

// RecordAnswered records that an endpoint answers a request with these keys. The scheduler
// is told if one of them is under suspicion.
func (c *Client) RecordAnswered(keys []blame.Key) {
	answers := c.answers.Record(time.Now(), keys)
	if len(answers) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendAnswers(answers)
}

// sendAnswers sends answers to the scheduler. Called with mu locked.
func (c *Client) sendAnswers(answers []blame.Answer) {
	if c.link != nil && len(answers) > 0 {
		c.link.send(HostMessage{Answers: answers})
	}
}

// sendVerdicts sends the convictions and the crashes that this host knows to a scheduler
// that may know of none. Called with mu locked.
func (c *Client) sendVerdicts(now time.Time, l link) {
	if known := c.opts.Convictions.All(now); len(known) > 0 {
		l.send(HostMessage{Convictions: known})
	}
	for _, r := range c.crashes {
		if age := now.Sub(r.at); age <= crashReportRetention {
			crash := r.crash
			crash.Age += age
			l.send(HostMessage{Crash: &crash})
		}
	}
}

// learnConvictions adds the convictions of the scheduler.
func (c *Client) learnConvictions(convictions []blame.Conviction) {
	now := time.Now()
	for _, v := range convictions {
		if c.opts.Convictions.Add(now, v) {
			_ = level.Warn(c.opts.Logger).Log("event", "conviction_learned", "keys", v.Keys.String(), "from", "scheduler", "left_ms", v.Left.Milliseconds())
		}
	}
}
