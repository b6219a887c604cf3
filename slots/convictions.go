package slots

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/scheduler"
)

// attribution attributes crashes of endpoints to requests, for all hosts that have a
// session. Only the goroutine of LocalScheduler.Serve uses it.
type attribution struct {
	tracker *blame.Tracker
	// announced are the suspects of the last broadcast.
	announced []blame.Key
}

// recordCrash records a host's report of a crash.
func (l *LocalScheduler) recordCrash(now time.Time, host string, r *blame.Crash) {
	l.attribution.tracker.RecordCrash(now, r)
	_ = level.Info(l.logger).Log("event", "crash_reported", "peer", host, "endpoint", r.Endpoint, "attempt", r.Attempt,
		"keys", blame.Combination(r.Keys).String(), "endpoints", r.Endpoints, "age_ms", r.Age.Milliseconds())
}

// UnexplainedCrashes returns what this host knows, as the scheduler, of crashes that no conviction
// accounts for, and the time to which their ages refer. The error is that of ctx.
func (l *LocalScheduler) UnexplainedCrashes(ctx context.Context) ([]blame.Crash, time.Time, error) {
	type answer struct {
		crashes []blame.Crash
		at      time.Time
	}
	answers := make(chan answer, 1)
	l.enqueue(func(now time.Time, _ *scheduler.Core) {
		answers <- answer{l.attribution.tracker.Unexplained(now), now}
	})
	select {
	case a := <-answers:
		return a.crashes, a.at, nil
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
}

// RestoreCrashes records what an earlier scheduler knew of crashes.
func (l *LocalScheduler) RestoreCrashes(crashes []blame.Crash) {
	l.enqueue(func(now time.Time, _ *scheduler.Core) {
		for i := range crashes {
			l.attribution.tracker.RecordCrash(now, &crashes[i])
		}
	})
}

// recordAnswers records that endpoints answer requests that are under suspicion.
func (l *LocalScheduler) recordAnswers(now time.Time, host string, answers []blame.Answer) {
	for _, a := range answers {
		l.attribution.tracker.RecordAnswer(now, a)
		_ = level.Debug(l.logger).Log("event", "suspect_answered", "peer", host, "key", a.Key, "age_ms", a.Age.Milliseconds())
	}
}

// addConvictions adds the convictions that a host knows, and passes new ones on.
func (l *LocalScheduler) addConvictions(now time.Time, host string, convictions []blame.Conviction, c *scheduler.Core) {
	added := false
	for _, v := range convictions {
		if l.convictions.Add(now, v) {
			added = true
			_ = level.Warn(l.logger).Log("event", "conviction_learned", "keys", v.Keys.String(), "from", host, "left_ms", v.Left.Milliseconds())
		}
	}
	if added {
		l.enforceConvictions(now, c)
	}
}

// convict makes the convictions for which there is enough evidence, and announces new
// suspects to the hosts.
func (l *LocalScheduler) convict(now time.Time, c *scheduler.Core) {
	t := l.attribution.tracker
	if !t.Due(now) {
		return
	}
	var known []blame.Combination
	for _, v := range l.convictions.All(now) {
		known = append(known, v.Keys)
	}
	verdicts := t.Evaluate(now, known)
	for _, v := range verdicts {
		l.convictions.Add(now, blame.Conviction{Keys: v, Left: blame.ConvictionTTL})
		l.metrics.convictions.Inc()
		_ = level.Warn(l.logger).Log("event", "requests_convicted", "keys", v.String(), "for_ms", blame.ConvictionTTL.Milliseconds())
	}
	suspects := t.Suspects()
	changed := !slices.Equal(suspects, l.attribution.announced)
	if changed {
		c.SetSuspects(now, suspects)
	}
	switch {
	case len(verdicts) > 0:
		l.enforceConvictions(now, c)
	case changed:
		l.broadcastState(now)
	}
}

// acquire passes a request for a slot to the core, unless it matches a conviction that its
// host does not know yet, or goes on with a stream of unknown version.
func (l *LocalScheduler) acquire(now time.Time, host string, request *scheduler.SlotRequest, c *scheduler.Core) {
	if verdict := l.convictions.Match(now, request.Keys()); verdict != nil {
		c.RefuseRequest(now, host, request, verdict)
		return
	}
	if request.Resumes != "" && request.Version == nil {
		b, known := l.origins.known.Version(request.Service, request.Resumes, clock.Now().Add(-request.Elapsed))
		if !known {
			c.RefuseUnknownVersion(now, host, request)
			return
		}
		_ = level.Info(l.logger).Log("event", "stream_version", "peer", host, "request", request.Request, "resumes", request.Resumes,
			"version", b.Version, "source", b.Source, "from", b.From, "age_ms", b.Age.Milliseconds())
		request.Version = &b.Version
	}
	c.Acquire(now, host, *request)
}

// enforceConvictions refuses the waiting requests that match a conviction, and tells the
// hosts at once.
func (l *LocalScheduler) enforceConvictions(now time.Time, c *scheduler.Core) {
	c.RefuseWaiting(now, func(keys []blame.Key) *blame.Conviction { return l.convictions.Match(now, keys) })
	l.broadcastState(now)
}
