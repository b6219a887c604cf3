package gateway

import (
	"slices"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/slots"
)

// watchedPlace is a placement that reports whether its endpoint answers the request or
// crashes under it.
type watchedPlace struct {
	forward.Placement
	client  *slots.Client
	crashes *crashDetector
	links   *detour.Links
	// request is the request's id.
	request string
	// fingerprint is the key of the request and its retries, parts those of the parts of its prompt that
	// others share.
	fingerprint, parts []blame.Key
}

// beginningEvents is how many events of a stream belong to its beginning. A request that crashes endpoints as they
// begin to run it may do so behind the first token; a part of a prompt does as they begin to answer.
const beginningEvents = 16

// Choice implements forward.Chosen.
func (p *watchedPlace) Choice() string {
	if c, chosen := p.Placement.(forward.Chosen); chosen {
		return c.Choice()
	}
	return ""
}

// keys returns all keys of the request.
func (p *watchedPlace) keys() []blame.Key {
	return slices.Concat(p.fingerprint, p.parts)
}

// ReportResponding implements forward.Placement. The request itself is cleared once its answer is whole.
func (p *watchedPlace) ReportResponding() {
	p.client.RecordAnswered(p.parts)
	p.Placement.ReportResponding()
}

// ReportStalled implements forward.Placement.
func (p *watchedPlace) ReportStalled() {
	p.links.Suspect()
	p.Placement.ReportStalled()
}

// Release implements forward.Placement.
func (p *watchedPlace) Release(use forward.Usage) {
	switch use.Outcome {
	case forward.OutcomeAnswered, forward.OutcomeFailed:
		p.client.RecordAnswered(p.keys())
	case forward.OutcomeUnknown, forward.OutcomeTruncated:
		p.links.Suspect()
		p.crashes.brokenOff(p.Endpoint(), p.request, p.suspects(use))
	}
	p.Placement.Release(use)
}

// suspects returns the keys that may have crashed the endpoint of an attempt that broke off.
func (p *watchedPlace) suspects(use forward.Usage) []blame.Key {
	switch {
	case !use.Responding:
		return p.keys()
	case use.Events < beginningEvents:
		return p.fingerprint
	default:
		return nil
	}
}
