package completion

import (
	"fmt"

	"github.com/peridotmount/peridotmount/engine"
)

// Bounds of the sampling fields.
const (
	maxTemperature = 2.0
	maxPenalty     = 2.0
)

func checkSampling(s *engine.Sampling) error {
	fields := []struct {
		name      string
		value     *float64
		low, high float64
	}{
		{"temperature", s.Temperature, 0, maxTemperature},
		{"top_p", s.TopP, 0, 1},
		{"presence_penalty", s.PresencePenalty, -maxPenalty, maxPenalty},
		{"frequency_penalty", s.FrequencyPenalty, -maxPenalty, maxPenalty},
	}
	for _, f := range fields {
		if f.value != nil && (*f.value < f.low || *f.value > f.high) {
			return &FieldError{Field: f.name, Reason: fmt.Sprintf("is not from %g to %g", f.low, f.high)}
		}
	}
	return nil
}
