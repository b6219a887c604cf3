package gateway

import (
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
	keys    []blame.Key
}

// Choice implements forward.Chosen.
func (p *watchedPlace) Choice() string {
	if c, chosen := p.Placement.(forward.Chosen); chosen {
		return c.Choice()
	}
	return ""
}

// ReportResponding implements forward.Placement.
func (p *watchedPlace) ReportResponding() {
	p.client.RecordAnswered(p.keys)
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
		if !use.Responding {
			p.client.RecordAnswered(p.keys)
		}
	case forward.OutcomeUnknown, forward.OutcomeTruncated:
		p.links.Suspect()
		keys := p.keys
		if use.Responding {
			keys = nil
		}
		p.crashes.brokenOff(p.Endpoint(), p.request, keys)
	}
	p.Placement.Release(use)
}
