package blame

import (
	"sync"
	"time"
)

const (
	// answerRetention is how long the answer to a request with a key is remembered.
	answerRetention = 5 * time.Second
	// maxAnswered bounds the keys that are remembered.
	maxAnswered = 8192
	// answerInterval is the minimum time between two reports of the same key.
	answerInterval = 100 * time.Millisecond
)

// Answers remembers the keys of the requests that endpoints answered of late, and reports
// those that are under suspicion. Calm fleets thus exchange nothing. It is safe for
// concurrent use.
type Answers struct {
	mu       sync.Mutex
	answered map[Key]time.Time
	// reported holds the keys under suspicion, with the time of the last report.
	reported map[Key]time.Time
}

// NewAnswers returns an empty Answers.
func NewAnswers() *Answers {
	return &Answers{answered: make(map[Key]time.Time), reported: make(map[Key]time.Time)}
}

// Record records that an endpoint answers a request with these keys, and returns the
// answers to report.
func (a *Answers) Record(now time.Time, keys []Key) []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.answered) >= maxAnswered {
		a.expire(now)
	}
	var out []Answer
	for _, k := range keys {
		a.answered[k] = now
		if last, suspected := a.reported[k]; suspected && now.Sub(last) >= answerInterval {
			a.reported[k] = now
			out = append(out, Answer{Key: k})
		}
	}
	return out
}

// expire forgets old answers, and all if none is old.
func (a *Answers) expire(now time.Time) {
	for k, at := range a.answered {
		if now.Sub(at) > answerRetention {
			delete(a.answered, k)
		}
	}
	if len(a.answered) >= maxAnswered {
		clear(a.answered)
	}
}

// SetSuspects replaces the keys under suspicion, and returns the answers to report for
// those that are new.
func (a *Answers) SetSuspects(now time.Time, keys []Key) []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.reported
	a.reported = make(map[Key]time.Time, len(keys))
	var out []Answer
	for _, k := range keys {
		last, known := before[k]
		a.reported[k] = last
		at, answered := a.answered[k]
		if !known && answered && now.Sub(at) <= answerRetention {
			a.reported[k] = now
			out = append(out, Answer{Key: k, Age: now.Sub(at)})
		}
	}
	return out
}
