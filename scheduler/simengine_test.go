package scheduler

import (
	"slices"
	"time"
)

// simEngine is an engine that caches parts of prompts.
type simEngine struct {
	id           string
	zone         int
	factor       float64
	running      int
	tokens       int64
	prefillUntil time.Duration
	starts       int
	// cached holds the parts, least recently used first.
	cached []simPart
	size   int64
}

type simPart struct {
	key    string
	tokens int
}

// need returns how many tokens of the parts are not cached, and caches them.
func (e *simEngine) need(capacity int64, ids []string, tokens []int) int {
	need, whole := 0, true
	for i, key := 0, ""; i < len(ids); i++ {
		key += "/" + ids[i]
		whole = whole && slices.ContainsFunc(e.cached, func(p simPart) bool { return p.key == key })
		if !whole {
			need += tokens[i]
		}
	}
	for i := len(ids) - 1; i >= 0; i-- {
		key := ""
		for _, id := range ids[:i+1] {
			key += "/" + id
		}
		if at := slices.IndexFunc(e.cached, func(p simPart) bool { return p.key == key }); at >= 0 {
			e.size -= int64(e.cached[at].tokens)
			e.cached = slices.Delete(e.cached, at, at+1)
		}
		size := (tokens[i] + 15) / 16 * 16
		e.cached, e.size = append(e.cached, simPart{key, size}), e.size+int64(size)
	}
	e.evict(capacity)
	return need
}

func (e *simEngine) evict(capacity int64) {
	n := 0
	for n < len(e.cached) && e.size+e.tokens > capacity {
		e.size -= int64(e.cached[n].tokens)
		n++
	}
	e.cached = slices.Delete(e.cached, 0, n)
}
