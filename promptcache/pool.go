package promptcache

import (
	"math/bits"
)

const (
	// maxPoolParts bounds the parts that are modelled for all engines of a service together,
	// maxEngineParts and minEngineParts those of an engine. A part takes about 70 bytes, and
	// up to 200 more if only one of 760 engines has it.
	maxPoolParts   = 1 << 17
	maxEngineParts = 2048
	minEngineParts = 64
)

// Set is a set of engines, by their numbers.
type Set []uint64

// Has reports whether an engine is in the set.
func (s Set) Has(number int) bool {
	return number>>6 < len(s) && s[number>>6]&(1<<(number&63)) != 0
}

// Word returns the members 64*i to 64*i+63, as bits.
func (s Set) Word(i int) uint64 {
	if i < len(s) {
		return s[i]
	}
	return 0
}

// Add returns the set with an engine added.
func (s Set) Add(number int) Set {
	for len(s) <= number>>6 {
		s = append(s, 0)
	}
	s[number>>6] |= 1 << (number & 63)
	return s
}

// Remove removes an engine.
func (s Set) Remove(number int) {
	if number>>6 < len(s) {
		s[number>>6] &^= 1 << (number & 63)
	}
}

func (s Set) empty() bool {
	for _, w := range s {
		if w != 0 {
			return false
		}
	}
	return true
}

// Pool models the memory of the engines of a service. It is not safe for concurrent use.
type Pool struct {
	// holders maps the key of a part to the engines that have it.
	holders map[uint64]Set
	// used are the numbers of the engines.
	used Set
	// groups are the groups of the engines of each word of a Set.
	groups []int
	// engines is the number of engines.
	engines int
}

// NewPool returns a pool without engines.
func NewPool() *Pool {
	return &Pool{holders: make(map[uint64]Set)}
}

// Add adds an engine without cached parts. It gets the smallest free number among those of its
// group: engines whose numbers are in one word of a Set are of the same group.
func (p *Pool) Add(group int, capacity int64) *Engine {
	number := 0
	for i := 0; ; i++ {
		if i == len(p.groups) {
			p.groups = append(p.groups, group)
		}
		if w := p.used.Word(i); p.groups[i] == group && w != ^uint64(0) {
			number = i<<6 + bits.TrailingZeros64(^w)
			break
		}
	}
	p.used = p.used.Add(number)
	p.engines++
	return &Engine{pool: p, number: number, capacity: capacity, index: make(map[uint64]int32), first: none, last: none, free: none}
}

// Group returns the group of the engines of a word.
func (p *Pool) Group(word int) int {
	return p.groups[word]
}

// Remove removes an engine.
func (p *Pool) Remove(e *Engine) {
	e.Restart()
	p.used.Remove(e.number)
	p.engines--
}

// maxParts returns how many parts are modelled for each engine.
func (p *Pool) maxParts() int {
	return min(max(maxPoolParts/max(1, p.engines), minEngineParts), maxEngineParts)
}

// Holders returns for each part of a chain the engines that have it.
func (p *Pool) Holders(c *Chain) [MaxParts]Set {
	var out [MaxParts]Set
	for i, part := range c.Parts() {
		out[i] = p.holders[part.Key]
	}
	return out
}

func (p *Pool) add(key uint64, number int) {
	p.holders[key] = p.holders[key].Add(number)
}

func (p *Pool) remove(key uint64, number int) {
	s := p.holders[key]
	s.Remove(number)
	if s.empty() {
		delete(p.holders, key)
	}
}
