package quota

import (
	"fmt"
	"time"
)

// Refusal tells why a request was not admitted.
type Refusal struct {
	Workspace string `json:"workspace"`
	// RequestsPerSecond, Burst and Version are the limits that applied and the version of
	// the configuration that they come from.
	RequestsPerSecond float64 `json:"per_second"`
	Burst             float64 `json:"burst"`
	Version           int64   `json:"version"`
	// Used is how many requests are known to be admitted within the last window, Share the
	// fraction of the limits that the scheduler may use.
	Used  int     `json:"used"`
	Share float64 `json:"share"`
	// Known is for how long the scheduler has counted, or been told of, all admissions, up to
	// the length of the window.
	Known time.Duration `json:"known"`
	// Again means that the request was refused before, and first attempts use up the quota.
	Again bool `json:"again,omitempty"`
	// RetryAfter is the time after which a request will be admitted.
	RetryAfter time.Duration `json:"retry_after"`
}

// String formats the refusal for logs.
func (r *Refusal) String() string {
	again := ""
	if r.Again {
		again = ", refused before"
	}
	return fmt.Sprintf("workspace %s, %g per second, burst %g, configuration %d, %d admitted in the window, share %.3f, counted for %s%s",
		r.Workspace, r.RequestsPerSecond, r.Burst, r.Version, r.Used, r.Share, r.Known.Round(time.Millisecond), again)
}
