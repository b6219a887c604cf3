package standin

import (
	"net"
	"slices"
)

// Outage is how a Store turns calls away.
type Outage string

// Ways of turning calls away.
const (
	// OutageBusy answers 503.
	OutageBusy Outage = "busy"
	// OutageThrottled answers 429.
	OutageThrottled Outage = "throttled"
	// OutageReset resets the connection.
	OutageReset Outage = "reset"
	// OutageSilent never answers.
	OutageSilent Outage = "silent"
)

// StoreFaults are the limits and failures that a Store plays now. The zero value
// keeps all records and never fails.
type StoreFaults struct {
	// Outage turns calls away; empty means none.
	Outage Outage `json:"outage"`
	// Only lists the IP addresses whose calls are turned away; empty means all.
	Only []string `json:"only"`
	// LoseAnswers is the number of appends to come that take effect and get no
	// answer, after LateMillis.
	LoseAnswers int   `json:"lose_answers"`
	LateMillis  int64 `json:"late_ms"`
	// LoseAppends is the number of appends to come that get no answer and take
	// no effect.
	LoseAppends int `json:"lose_appends"`
	// Topics lists the topics whose calls are turned away; empty means all.
	Topics []string `json:"topics"`
	// DelayMillis is how long an append waits before it takes effect, SlowMillis
	// how long any call does.
	DelayMillis int64 `json:"delay_ms"`
	SlowMillis  int64 `json:"slow_ms"`
	// AppendsPerSecond bounds the appends; further ones are refused with status
	// 429 before any effect. Zero means no bound.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// KeepRecords is the number of records that a partition keeps; zero means all.
	KeepRecords int `json:"keep_records"`
	// KeepMillis is how long a partition keeps a record; zero means for good.
	KeepMillis int64 `json:"keep_ms"`
}

// strikes reports whether a call from an address on a topic is turned away.
func (f *StoreFaults) strikes(remote, topic string) bool {
	if f.Outage == "" || (len(f.Topics) > 0 && !slices.Contains(f.Topics, topic)) {
		return false
	}
	if len(f.Only) == 0 {
		return true
	}
	host, _, err := net.SplitHostPort(remote)
	return err == nil && slices.Contains(f.Only, host)
}
