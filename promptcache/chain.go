package promptcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxParts bounds the shared parts of a prompt that are modelled. Prompts have one or two;
	// further ones count as part of the request's own.
	MaxParts = 8
	// BlockTokens is the number of tokens of a block, the unit of an engine's memory.
	BlockTokens = 16
	// maxTokens bounds what a client may claim for a part.
	maxTokens = 1 << 22
)

// Part is a shared part of a prompt.
type Part struct {
	// Key is a hash of the ids of all parts up to this one: an engine can use a part only
	// after the same parts before it.
	Key    uint64 `json:"key"`
	Tokens int    `json:"tokens"`
}

// Chain is the beginning of a prompt that other prompts may share.
type Chain struct {
	parts [MaxParts]Part
	count int
	// total is the number of tokens of the whole prompt.
	total int
}

// NewChain returns the chain of a prompt with the given ids of its parts. The last part belongs
// to the request and is not shared. Parts after the first belong to the workspace: the same id
// may stand for another text there. If the tokens of the parts are unknown, those of the prompt
// are spread evenly over them.
func NewChain(workspace string, ids []string, tokens []int, promptTokens int) Chain {
	c := Chain{total: min(max(0, promptTokens), maxTokens)}
	known := len(tokens) == len(ids)
	sum, key := 0, uint64(0)
	for i := 0; i < len(ids)-1 && i < MaxParts; i++ {
		key = extend(key, ids[i])
		if i == 1 && workspace != "" {
			key = extend(key, workspace)
		}
		n := c.total / len(ids)
		if known {
			n = min(max(0, tokens[i]), maxTokens)
		}
		c.parts[i] = Part{Key: key, Tokens: n}
		c.count++
		sum += n
	}
	c.total = max(c.total, sum)
	return c
}

// ChainOf returns the chain with the given shared parts, as another host reports it.
func ChainOf(parts []Part, promptTokens int) Chain {
	c := Chain{total: min(max(0, promptTokens), maxTokens)}
	sum := 0
	for _, p := range parts[:min(len(parts), MaxParts)] {
		p.Tokens = min(max(0, p.Tokens), maxTokens)
		c.parts[c.count] = p
		c.count++
		sum += p.Tokens
	}
	c.total = max(c.total, sum)
	return c
}

// extend returns the hash of a sequence with one more element.
func extend(key uint64, id string) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(id))
	return xxhash.Sum64(b[:])
}

// Parts returns the shared parts, in order.
func (c *Chain) Parts() []Part {
	return c.parts[:c.count]
}

// Shared returns the number of tokens of the shared parts.
func (c *Chain) Shared() int {
	n := 0
	for _, p := range c.Parts() {
		n += p.Tokens
	}
	return n
}

// Total returns the number of tokens of the whole prompt.
func (c *Chain) Total() int {
	return c.total
}

// Held returns the number of tokens of the first n shared parts.
func (c *Chain) Held(n int) int {
	held := 0
	for _, p := range c.parts[:min(n, c.count)] {
		held += p.Tokens
	}
	return held
}

// blocks returns the memory that a part takes, in tokens.
func blocks(tokens int) int64 {
	return int64((tokens + BlockTokens - 1) / BlockTokens * BlockTokens)
}
