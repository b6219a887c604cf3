package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/slots"
)

const (
	// noEndpointRetry is the Retry-After while a service has no endpoint: about
	// the time in which a new one is seen.
	noEndpointRetry = time.Second
	// maxPlaces bounds the endpoints that the scheduler may name before one is
	// found that this host can use.
	maxPlaces = 4
	// maxVersionWait is how long a request that goes on with a stream waits until the
	// scheduler knows which version began it: a scheduler that has ended is replaced in about
	// half of that. versionRetry is the time between two questions.
	maxVersionWait = 1200 * time.Millisecond
	versionRetry   = 150 * time.Millisecond
	// limitWaitShare is the fraction of its objective for which a request waits until the
	// endpoints' rate limits admit it.
	limitWaitShare = 0.5
	// maxLimitRetry bounds the Retry-After of requests that the rate limits don't admit:
	// another host may have more of its share left.
	maxLimitRetry = 2 * time.Second
)

// placer places generations by the fleet's scheduler, and other requests by what
// this host has in progress.
type placer struct {
	configuration *configuration
	endpoints     *endpoints
	balancer      *balance.Balancer
	pacers        *hostPacers
	client        *slots.Client
	origins       *origins
	convictions   *blame.List
	crashes       *crashDetector
	links         *detour.Links
	logger        log.Logger
	// feedback has endpoints of plain services that answer with server errors avoided.
	feedback bool
	// age returns how old the picture of the endpoints is.
	age func() time.Duration
}

// Place implements forward.Placer.
func (p *placer) Place(ctx context.Context, ask *forward.PlacementRequest) (forward.Placement, error) {
	keys := blame.KeysOf(ask.Fingerprint, ask.SharedParts())
	if err := p.convicted(keys); err != nil {
		return nil, err
	}
	place, err := p.place(ctx, ask)
	if err != nil {
		return nil, err
	}
	if err := p.convicted(keys); err != nil {
		// The conviction was made while the request waited for its place.
		place.Release(forward.Usage{Outcome: forward.OutcomeAbandoned})
		return nil, err
	}
	return &watchedPlace{Placement: place, client: p.client, crashes: p.crashes, links: p.links, request: ask.Request,
		fingerprint: blame.KeysOf(ask.Fingerprint, nil), parts: blame.KeysOf("", ask.SharedParts())}, nil
}

// convicted returns a refusal if requests with some of these keys crash endpoints.
func (p *placer) convicted(keys []blame.Key) error {
	verdict := p.convictions.Match(time.Now(), keys)
	if verdict == nil {
		return nil
	}
	return &forward.Rejection{
		Reason: string(scheduler.ReasonConvicted), RetryAfter: verdict.Left, Inputs: "requests with " + verdict.Keys.String(),
	}
}

func (p *placer) place(ctx context.Context, ask *forward.PlacementRequest) (forward.Placement, error) {
	if c := p.configuration.Current(); c != nil {
		if s := c.Services[ask.Service]; s != nil && s.Engine != nil {
			return p.slot(ctx, ask)
		}
	}
	return p.permitted(ctx, ask)
}

// permitted places a request to a plain service, once it is admitted within its workspace's quota.
func (p *placer) permitted(ctx context.Context, ask *forward.PlacementRequest) (forward.Placement, error) {
	claim := claimOf(ask)
	if claim == nil {
		return p.balanced(ctx, ask)
	}
	permit, err := p.client.AcquirePermit(ctx, *claim)
	if err != nil {
		return nil, rejectionOf(err)
	}
	place, err := p.balanced(ctx, ask)
	if err != nil {
		permit.Return()
	}
	return place, err
}

// claimOf returns what a request claims of its workspace's quota, nil if it needs no admission.
func claimOf(ask *forward.PlacementRequest) *quota.Claim {
	if ask.Charged || !ask.Workspace.Limited() {
		return nil
	}
	return &quota.Claim{
		Workspace: ask.Workspace.Name, RequestsPerSecond: ask.Workspace.RequestsPerSecond, Burst: ask.Workspace.Burst, Version: ask.ConfigVersion,
		Fingerprint: ask.Fingerprint,
	}
}

// balanced places a request to a plain service, now or as soon as the rate limits of its
// endpoints admit it. A request that would wait for most of its objective is refused at once.
func (p *placer) balanced(ctx context.Context, ask *forward.PlacementRequest) (forward.Placement, error) {
	version, err := p.versionOf(ctx, ask)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	ready := ofVersion(version, p.endpoints.View().Ready(ask.Service))
	pick := p.balancer.Choose
	if p.feedback && !ask.Repeatable {
		pick = p.balancer.ChooseOnce
	}
	choose := func(open []*endpoint.Endpoint) *endpoint.Endpoint {
		e := pick(now, open, func(id string) bool { return slices.Contains(ask.Avoid, id) })
		if e == nil {
			e = pick(now, open, func(string) bool { return false })
		}
		return e
	}
	if e := p.pacers.take(now, ready, choose); e != nil {
		return &balancedPlace{placer: p, endpoint: e, request: ask.Request}, nil
	}
	if len(ready) == 0 {
		return nil, p.noEndpoint(ask)
	}
	longest := min(ask.Left, time.Duration(limitWaitShare*float64(ask.Route.Objective))-ask.Elapsed)
	e, wait := p.pacers.reserve(now, ready, longest)
	if e == nil {
		return nil, &forward.Rejection{
			Reason: "the endpoints' rate limits are reached", RetryAfter: min(wait, maxLimitRetry),
			Inputs: fmt.Sprintf("%d endpoints of %s are ready, the next takes a request in %s", len(ready), ask.Service, wait.Round(time.Millisecond)),
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	p.balancer.Choose(time.Now(), []*endpoint.Endpoint{e}, func(string) bool { return false })
	return &balancedPlace{placer: p, endpoint: e, request: ask.Request}, nil
}

// versionOf returns the version at which a request to a plain service has to go on, nil if any will
// do. It waits for a while until that is known.
func (p *placer) versionOf(ctx context.Context, ask *forward.PlacementRequest) (*string, error) {
	if ask.Version != nil || ask.Resumes == "" {
		return ask.Version, nil
	}
	asked := clock.Now().Add(-ask.Elapsed)
	for begun := time.Now(); ; {
		if b, known := p.origins.Version(ask.Service, ask.Resumes, asked); known {
			return &b.Version, nil
		}
		if time.Since(begun) >= maxVersionWait {
			return nil, &forward.Rejection{Reason: string(scheduler.ReasonUnknownVersion), Inputs: "resumes " + ask.Resumes}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(versionRetry):
		}
	}
}

// ofVersion returns the endpoints of a version, all if it is nil.
func ofVersion(version *string, endpoints []*endpoint.Endpoint) []*endpoint.Endpoint {
	if version == nil {
		return endpoints
	}
	var out []*endpoint.Endpoint
	for _, e := range endpoints {
		if e.Version == *version {
			out = append(out, e)
		}
	}
	return out
}

// slot asks the scheduler, until it names an endpoint that this host knows.
func (p *placer) slot(ctx context.Context, ask *forward.PlacementRequest) (forward.Placement, error) {
	begun := time.Now()
	a := scheduler.SlotRequest{
		Request:        ask.Request,
		Service:        ask.Service,
		Priority:       ask.Priority(),
		Objective:      ask.Route.Objective,
		PromptTokens:   ask.PromptTokens,
		ExpectedTokens: ask.ExpectedTokens,
		Prefix:         ask.Prefix,
		PrefixTokens:   ask.PrefixTokens,
		Repeatable:     ask.Repeatable,
		Claim:          claimOf(ask),
		Fingerprint:    ask.Fingerprint,
		Resumes:        ask.Resumes,
		Version:        ask.Version,
		Avoid:          slices.Clone(ask.Avoid),
	}
	if ask.Workspace != nil {
		a.Workspace = ask.Workspace.Name
	}
	for range maxPlaces {
		lease, err := p.acquire(ctx, ask, &a, begun)
		if err != nil {
			return nil, rejectionOf(err)
		}
		a.Claim = nil
		e := p.endpoints.View().Endpoint(lease.Endpoint)
		outcome, usable := usableGrant(ask, lease.Version, e)
		if usable {
			return &leasedPlace{lease: lease, endpoint: e, work: ask.Fingerprint}, nil
		}
		_ = level.Info(p.logger).Log("event", "slot_returned", "request", ask.Request, "endpoint", lease.Endpoint, "outcome", outcome)
		lease.Release(scheduler.Usage{Outcome: outcome})
		a.Avoid = append(a.Avoid, lease.Endpoint)
	}
	return nil, p.noEndpoint(ask)
}

// acquire waits for a slot. A scheduler that has just been elected may not know yet which
// version began a stream that other hosts know: it is asked again for a while.
func (p *placer) acquire(ctx context.Context, ask *forward.PlacementRequest, a *scheduler.SlotRequest, begun time.Time) (*slots.Lease, error) {
	for {
		waited := time.Since(begun)
		a.Elapsed, a.Left = ask.Elapsed+waited, ask.Left-waited
		if a.Resumes != "" && a.Version == nil {
			if b, known := p.origins.BegunHere(a.Resumes); known {
				p.resumeAt(a, b)
			}
		}
		lease, err := p.client.Acquire(ctx, *a)
		var refused *slots.RefusedError
		if err == nil || !errors.As(err, &refused) || refused.Reason != scheduler.ReasonUnknownVersion || waited >= maxVersionWait {
			return lease, err
		}
		if b, known := p.origins.Recorded(a.Resumes); known && a.Version == nil {
			// A former scheduler told this host, and not the present one.
			p.resumeAt(a, b)
			continue
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(versionRetry):
		}
	}
}

// resumeAt has a request go on at the version that began its stream, as this host knows it.
func (p *placer) resumeAt(a *scheduler.SlotRequest, b origin.Beginning) {
	_ = level.Info(p.logger).Log("event", "stream_version", "request", a.Request, "resumes", a.Resumes,
		"version", b.Version, "source", b.Source, "from", b.From, "age_ms", b.Age.Milliseconds())
	a.Version = &b.Version
}

// usableGrant reports whether a request can be sent to the endpoint of a slot, of which this host
// has read the given record, if any, and the scheduler the given version. If not, it returns how
// the slot is returned. A stream has to know its version for certain, as it may be taken up again.
func usableGrant(ask *forward.PlacementRequest, version string, e *endpoint.Endpoint) (scheduler.Outcome, bool) {
	goesOn := ask.Resumes != "" || ask.Version != nil
	// Older schedulers don't say the version.
	begins := version != "" && ask.Route != nil && ask.Route.Kind == route.Streaming
	switch {
	case e == nil, (goesOn || begins) && e.Version != version:
		return scheduler.Unread, false
	case e.State != endpoint.Ready:
		return scheduler.Leaving, false
	default:
		return "", true
	}
}

// noEndpoint is the refusal of a request whose service has no endpoint to use.
func (p *placer) noEndpoint(ask *forward.PlacementRequest) error {
	view := p.endpoints.View()
	return &forward.Rejection{
		Reason: "no endpoint is ready", RetryAfter: noEndpointRetry,
		Inputs: fmt.Sprintf("%d endpoints of %s are ready, %d are known, as read %s ago",
			len(view.Ready(ask.Service)), ask.Service, view.Len(), p.age().Round(time.Millisecond)),
	}
}

// rejectionOf turns a refusal of the scheduler into one of the request.
func rejectionOf(err error) error {
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		if refused.Quota != nil {
			return &forward.Rejection{
				Reason: string(refused.Reason), RetryAfter: refused.RetryAfter, Quota: true,
				Inputs: refused.Scheduler + ": " + refused.Quota.String(),
			}
		}
		return &forward.Rejection{
			Reason: string(refused.Reason), RetryAfter: refused.RetryAfter,
			Inputs: refused.Scheduler + ": " + refused.Load.String(),
		}
	}
	return err
}

// balancedPlace is room at an endpoint by the balancer's count.
type balancedPlace struct {
	placer   *placer
	endpoint *endpoint.Endpoint
	// request is the client's request id.
	request string
}

// Endpoint implements forward.Placement.
func (p *balancedPlace) Endpoint() *endpoint.Endpoint {
	return p.endpoint
}

// ReportStalled implements forward.Placement. A plain answer has no parts whose pace
// could be judged; hedges see to slow ones.
func (p *balancedPlace) ReportStalled() {}

// ReportResponding implements forward.Placement.
func (p *balancedPlace) ReportResponding() {}

// Release implements forward.Placement.
func (p *balancedPlace) Release(use forward.Usage) {
	if p.placer.feedback && use.Outcome == forward.OutcomeFailed && use.ServerError {
		inARow, pause := p.placer.balancer.Errored(time.Now(), p.endpoint.ID)
		_ = level.Info(p.placer.logger).Log("event", "plain_endpoint_avoided", "endpoint", p.endpoint.ID, "service", p.endpoint.Service,
			"request", p.request, "in_a_row", inARow, "pause_ms", pause.Milliseconds())
		return
	}
	p.placer.balancer.Done(time.Now(), p.endpoint.ID, penaltyOf(use.Outcome))
}

// penaltyOf says how badly an endpoint did.
func penaltyOf(o forward.Outcome) balance.Penalty {
	switch o {
	case forward.OutcomeNotSent, forward.OutcomeUnknown, forward.OutcomeMisdirected, forward.OutcomeTruncated, forward.OutcomeTimedOut:
		return balance.Failed
	case forward.OutcomeNotRun, forward.OutcomeHedgeLost:
		return balance.Slow
	default:
		return balance.None
	}
}

// leasedPlace is a slot granted by the scheduler.
type leasedPlace struct {
	lease    *slots.Lease
	endpoint *endpoint.Endpoint
	// work is the fingerprint of the request.
	work string
}

// Endpoint implements forward.Placement.
func (p *leasedPlace) Endpoint() *endpoint.Endpoint {
	return p.endpoint
}

// Choice implements forward.Chosen.
func (p *leasedPlace) Choice() string {
	if p.lease.Choice == nil {
		return ""
	}
	return p.lease.Choice.String()
}

// ReportResponding implements forward.Placement.
func (p *leasedPlace) ReportResponding() {}

// ReportStalled implements forward.Placement.
func (p *leasedPlace) ReportStalled() {
	p.lease.ReportStalled()
}

// Release implements forward.Placement.
func (p *leasedPlace) Release(use forward.Usage) {
	u := scheduler.Usage{
		Outcome: outcomeOf(use), Reusable: use.Reusable,
		FirstEvent: use.FirstEvent, Events: use.Events, Generating: use.Generating,
	}
	if use.Outcome == forward.OutcomeAbandoned && use.Events == 0 {
		u.Silent = use.Took
	}
	if u.Outcome == scheduler.Errored || u.Outcome == scheduler.Failed {
		u.Work = p.work
	}
	if use.TimeToFirstByte > 0 {
		u.First = p.lease.Overhead + use.TimeToFirstByte
	}
	p.lease.Release(u)
}

// outcomeOf says of a try's outcome what it means for the endpoint.
func outcomeOf(use forward.Usage) scheduler.Outcome {
	switch use.Outcome {
	case forward.OutcomeAnswered, forward.OutcomeFailed:
		if use.ServerError {
			return scheduler.Errored
		}
		return scheduler.Finished
	case forward.OutcomeNotRun:
		return scheduler.Refused
	case forward.OutcomeMisdirected:
		return scheduler.Misdirected
	case forward.OutcomeNotSent:
		return scheduler.Unreachable
	case forward.OutcomeUnread:
		return scheduler.Unread
	case forward.OutcomeAbandoned, forward.OutcomeCutOff, forward.OutcomePathLost:
		return scheduler.Abandoned
	default:
		return scheduler.Failed
	}
}
