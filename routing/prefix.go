package routing

import "github.com/cespare/xxhash/v2"

const (
	// blockBytes is the length of a prompt block. For shorter prompts a cache hit saves
	// too little to justify affinity.
	blockBytes = 256
	// maxBlocks bounds the number of blocks of a prompt that are hashed.
	maxBlocks = 8
	// maxPrefixes bounds the number of prefixes stored.
	maxPrefixes = 8192
)

// prefixHashes holds the hashes of those prefixes of a prompt that end at block
// boundaries, shortest first.
type prefixHashes struct {
	hashes [maxBlocks]uint64
	count  int
}

func hashPrefixes(prompt string) prefixHashes {
	var out prefixHashes
	var previous uint64
	for out.count < maxBlocks && len(prompt) >= blockBytes {
		previous = mix(previous ^ xxhash.Sum64String(prompt[:blockBytes]))
		out.hashes[out.count] = previous
		out.count++
		prompt = prompt[blockBytes:]
	}
	return out
}

// prefixMap maps prefix hashes to the endpoint that last received or cached the prefix.
// It holds at most maxPrefixes entries and evicts them in the order of insertion.
type prefixMap struct {
	holders map[uint64]string
	order   []uint64
	next    int
}

func newPrefixMap() *prefixMap {
	return &prefixMap{holders: make(map[uint64]string)}
}

func (p *prefixMap) lookup(prefix uint64) string {
	return p.holders[prefix]
}

// add records an endpoint as the holder of all block prefixes of a prompt.
func (p *prefixMap) add(prompt, endpoint string) {
	b := hashPrefixes(prompt)
	for _, hash := range b.hashes[:b.count] {
		p.set(hash, endpoint)
	}
}

// applyEvent records that an endpoint stored a prefix, or evicted it. An evicted prefix
// keeps its entry, with an empty holder, until the entry itself is evicted.
func (p *prefixMap) applyEvent(endpoint string, prefix uint64, stored bool) {
	if stored {
		p.set(prefix, endpoint)
		return
	}
	if p.holders[prefix] == endpoint {
		p.holders[prefix] = ""
	}
}

func (p *prefixMap) set(prefix uint64, endpoint string) {
	if _, found := p.holders[prefix]; !found {
		p.insert(prefix)
	}
	p.holders[prefix] = endpoint
}

// insert reserves room for a prefix and evicts the one inserted first if the map is
// full.
func (p *prefixMap) insert(prefix uint64) {
	if len(p.order) < maxPrefixes {
		p.order = append(p.order, prefix)
		return
	}
	delete(p.holders, p.order[p.next])
	p.order[p.next] = prefix
	p.next = (p.next + 1) % maxPrefixes
}
