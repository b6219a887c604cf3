package scheduler

import (
	"slices"
	"time"
)

const (
	// speedWeight is the least weight of a new measurement in the averages of an endpoint, and
	// maxSpeedStep bounds it to that multiple of the average: an engine takes 2.5 times as long
	// in some spans of 600 ms, which many requests fall into with all of their events.
	speedWeight  = 0.08
	maxSpeedStep = 1.6
	// minSpeedEvents is the number of events from which a stream shows the time per event,
	// minSpeedSamples that of measurements from which an average counts, and
	// minMeasuredEndpoints that of endpoints from which there is a median.
	minSpeedEvents       = 4
	minSpeedSamples      = 3
	minMeasuredEndpoints = 3
	// speedInterval is the time between two comparisons of the endpoints of a service.
	speedInterval = 250 * time.Millisecond
	// maxPaceRatio bounds the pace, so that an endpoint that is compared wrongly still gets work.
	maxPaceRatio = 4.0
)

// endpointSpeed is how long an endpoint takes. The zero value is that of one that is not known.
type endpointSpeed struct {
	event, first speedAverage
	// Decisions read the fields below of each endpoint. eventRatio and firstRatio are the averages relative to the medians of the service; zero
	// if they are not known.
	eventRatio, firstRatio float64
}

// speedAverage is a moving average of times, in seconds.
type speedAverage struct {
	value   float64
	samples int
}

// add adds a measurement.
func (a *speedAverage) add(x float64) {
	if a.samples >= minSpeedSamples {
		x = min(maxSpeedStep*a.value, max(a.value/maxSpeedStep, x))
	}
	a.samples++
	a.value += max(speedWeight, 1/float64(a.samples)) * (x - a.value)
}

// pace returns how long the endpoint takes for a step, relative to the median of its
// service: 2 means twice as long.
func (s *endpointState) pace() float64 {
	switch {
	case s.speed.eventRatio > 0:
		return s.speed.eventRatio
	case s.speed.firstRatio > 0:
		return s.speed.firstRatio
	default:
		return 1
	}
}

// observe adds the times of a finished use, and compares the endpoints of the service if that is
// due.
func (p *endpointSpeed) observe(now time.Time, v *service, u *Usage) {
	if u.Events >= minSpeedEvents && u.Generating > 0 {
		p.event.add(u.Generating.Seconds() / float64(u.Events-1))
	}
	if u.FirstEvent > 0 {
		p.first.add(u.FirstEvent.Seconds())
	}
	if now.Sub(v.comparedAt) >= speedInterval {
		v.comparedAt = now
		v.compareSpeeds()
	}
}

// compareSpeeds updates the ratios of all endpoints to the medians of their service.
func (v *service) compareSpeeds() {
	event := v.medianSpeed(func(p *endpointSpeed) *speedAverage { return &p.event })
	first := v.medianSpeed(func(p *endpointSpeed) *speedAverage { return &p.first })
	for _, s := range v.endpoints {
		s.speed.eventRatio = s.speed.event.ratio(event)
		s.speed.firstRatio = s.speed.first.ratio(first)
	}
}

// ratio returns the average relative to a median, or zero if one of them is not known.
func (a *speedAverage) ratio(median float64) float64 {
	if median <= 0 || a.samples < minSpeedSamples {
		return 0
	}
	return min(maxPaceRatio, max(1/maxPaceRatio, a.value/median))
}

// medianSpeed returns the median of an average over the endpoints, or zero if too few are known.
func (v *service) medianSpeed(of func(*endpointSpeed) *speedAverage) float64 {
	v.speeds = v.speeds[:0]
	for _, s := range v.endpoints {
		if a := of(&s.speed); s.listed && a.samples >= minSpeedSamples {
			v.speeds = append(v.speeds, a.value)
		}
	}
	if len(v.speeds) < minMeasuredEndpoints {
		return 0
	}
	slices.Sort(v.speeds)
	return v.speeds[(len(v.speeds)-1)/2]
}
