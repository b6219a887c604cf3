package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the longest time that a histogram tells apart.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// Latency summarizes a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Result is what became of the requests of a profile.
type Result struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Wrong counts answers of status 200 that were not whole.
	Wrong int `json:"wrong"`
	// Refused counts other statuses, by status.
	Refused map[int]int `json:"refused"`
	// Failed counts requests without an answer.
	Failed int `json:"failed"`
	// Tokens is the number of tokens received.
	Tokens int64 `json:"tokens"`
	// FirstToken and Total count from the time a request was due to be sent,
	// so that waiting before it is sent shows.
	FirstToken Latency `json:"first_token"`
	InterToken Latency `json:"inter_token"`
	Total      Latency `json:"total"`
	// Curve holds the total latency in milliseconds at each percentile from 1
	// to 100.
	Curve []float64 `json:"curve_ms"`
}

// recorder gathers the result of one profile; it is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	result Result
	first  *hdrhistogram.Histogram
	inter  *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
}

func newRecorder(name string) *recorder {
	return &recorder{
		result: Result{Name: name, Refused: make(map[int]int)},
		first:  hdrhistogram.New(1, maxMicros, digits),
		inter:  hdrhistogram.New(1, maxMicros, digits),
		total:  hdrhistogram.New(1, maxMicros, digits),
	}
}

func (r *recorder) answered(a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Tokens += int64(a.tokens)
	record(r.first, a.first)
	record(r.total, a.total)
	for _, gap := range a.gaps {
		record(r.inter, gap)
	}
}

func (r *recorder) note(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram's range are kept at its end.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

const percentiles = 100

func (r *recorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.FirstToken = summarize(r.first)
	r.result.InterToken = summarize(r.inter)
	r.result.Total = summarize(r.total)
	for p := 1; p <= percentiles; p++ {
		r.result.Curve = append(r.result.Curve, millis(r.total.ValueAtQuantile(float64(p))))
	}
	return r.result
}

func summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P90:   millis(h.ValueAtQuantile(90)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		P999:  millis(h.ValueAtQuantile(99.9)),
		Max:   millis(h.Max()),
	}
}

const microsPerMilli = 1000

func millis(micros int64) float64 {
	return float64(micros) / microsPerMilli
}
