package forward

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/pace"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// try is one attempt at one endpoint.
type try struct {
	place   Place
	answer  *upstream.Answer
	begun   time.Time
	used    Use
	verdict platform.Verdict
	// watch detects an endpoint that falls silent.
	watch  *pace.Watch
	cancel context.CancelFunc
}

// end releases the place, the connection and the timers of the attempt.
func (t *try) end(outcome Outcome) {
	t.used.Outcome = outcome
	t.watch.Stop()
	if t.answer != nil {
		t.used.Reusable = t.answer.Close()
	}
	t.cancel()
	t.place.Release(t.used)
}

// attempt places a request and sends it once. It returns nil and no error if the attempt
// gave no response of an endpoint that ran the request.
func (f *Forwarder) attempt(ctx context.Context, req *request, lastEvent string) (*try, error) {
	asked := time.Now()
	place, err := f.opts.Placer.Place(ctx, req.ask(asked))
	now := time.Now()
	if err != nil {
		return nil, err
	}
	e := place.Endpoint()
	req.triedAt(e.ID, now.Sub(asked))
	t := &try{place: place, begun: now}
	var sending context.Context
	sending, t.cancel = context.WithCancel(ctx)
	header := platform.ForwardHeader(req.http.Header, req.left(now), e.ID)
	if lastEvent != "" {
		platform.SetLastEvent(header, lastEvent)
	}
	t.watch = pace.Start(req.silenceLimits(f.tokensPerEvent(e.Service)), place.Stalled, t.cancel)
	t.answer, err = f.opts.Pool.Send(sending, e.ID, e.Address, &upstream.Call{
		Method:  req.http.Method,
		Target:  req.http.RequestURI,
		Host:    req.http.Host,
		Header:  header,
		Body:    req.body,
		Answers: platform.Answers(req.ID),
		Heard:   platform.Leaving(e, f.opts.Leaves),
	})
	if err != nil {
		f.noteError(ctx, req, t, err)
		return nil, nil
	}
	t.used.FirstByte = time.Since(now)
	return f.judge(req, t), nil
}

// tokensPerEvent returns the number of tokens in each event of a service.
func (f *Forwarder) tokensPerEvent(service string) int {
	if c := f.opts.Configuration.Current(); c != nil {
		return c.TokensPerEvent(service)
	}
	return 1
}

// noteError ends an attempt that got no response.
func (f *Forwarder) noteError(ctx context.Context, req *request, t *try, err error) {
	outcome := OutcomeUnknown
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		outcome = OutcomeNotSent
	case errors.Is(context.Cause(ctx), errOvertaken):
		outcome = OutcomeOvertaken
	case ctx.Err() != nil:
		outcome = OutcomeAbandoned
	case t.watch.Over():
		outcome = OutcomeSilent
	}
	if outcome == OutcomeNotSent {
		req.notRun()
	} else {
		req.hasRun(true)
	}
	f.noteTry(req, t, outcome, err.Error())
	t.end(outcome)
}

// judge returns the attempt if its response shows that the request ran; otherwise it ends
// the attempt and returns nil.
func (f *Forwarder) judge(req *request, t *try) *try {
	t.verdict = platform.Judge(t.answer.Status, t.answer.Header)
	outcome := OutcomeUnknown
	switch t.verdict {
	case platform.Answered, platform.Failed:
		req.hasRun(false)
		req.answered(time.Now())
		return t
	case platform.NotRun:
		outcome = OutcomeNotRun
		req.notRun()
	case platform.Misdirected:
		outcome = OutcomeMisdirected
		req.notRun()
	default:
		req.hasRun(true)
	}
	f.noteTry(req, t, outcome, t.verdict.String())
	t.end(outcome)
	return nil
}

// noteTry logs and counts an attempt that did not complete its request.
func (f *Forwarder) noteTry(req *request, t *try, outcome Outcome, reason string) {
	f.metrics.tries.WithLabelValues(string(outcome)).Inc()
	_ = level.Info(f.opts.Logger).Log("event", "try", "request", req.ID, "endpoint", t.place.Endpoint().ID,
		"outcome", outcome, "reason", reason, "after_ms", time.Since(t.begun).Milliseconds())
}
