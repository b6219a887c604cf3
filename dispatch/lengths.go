package dispatch

import "sync"

const (
	// maxLengthKeys limits the pairs of customer and service that are remembered.
	maxLengthKeys = 8192
	// lengthWeight is the weight of a new answer in the exponential moving average.
	lengthWeight = 0.2
)

type lengthKey struct {
	customer string
	service  string
}

// lengthEstimator tracks the mean length of answers, in tokens, per customer and
// service. It is safe for concurrent use and its memory is bounded.
type lengthEstimator struct {
	mu    sync.Mutex
	means map[lengthKey]float64
}

func newLengthEstimator() *lengthEstimator {
	return &lengthEstimator{means: make(map[lengthKey]float64)}
}

// expected returns the expected length of an answer of at most maxTokens tokens; it
// is maxTokens if no answer has been observed.
func (e *lengthEstimator) expected(key lengthKey, maxTokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, found := e.means[key]
	if !found {
		return maxTokens
	}
	return min(int(mean)+1, maxTokens)
}

func (e *lengthEstimator) observe(key lengthKey, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, found := e.means[key]
	if found {
		e.means[key] = mean + lengthWeight*(float64(tokens)-mean)
		return
	}
	if len(e.means) >= maxLengthKeys {
		e.evictOne()
	}
	e.means[key] = float64(tokens)
}

// evictOne drops an arbitrary key, whose mean is learnt again from the next
// answer.
func (e *lengthEstimator) evictOne() {
	for key := range e.means {
		delete(e.means, key)
		return
	}
}
