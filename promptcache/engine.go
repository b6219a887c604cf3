package promptcache

// none is the index of no entry.
const none = -1

// maxRunning bounds the memory of running requests, whose sizes clients claim.
const maxRunning = 1 << 40

// entry is a part that an engine has cached, in a list from the most to the least recently used.
type entry struct {
	key uint64
	// loader identifies the request that had the engine read the part.
	loader       uint64
	tokens       int32
	newer, older int32
}

// Engine models the memory of an engine. Cached parts and running requests share it.
type Engine struct {
	pool     *Pool
	number   int
	capacity int64
	// running is the memory of the running requests, cached that of the cached parts.
	running, cached int64
	entries         []entry
	index           map[uint64]int32
	first, last     int32
	// free is the first of a list of unused entries, linked by older.
	free int32
}

// Number returns the number of the engine in the sets of its pool.
func (e *Engine) Number() int {
	return e.number
}

// Cached returns the memory of the cached parts, in tokens.
func (e *Engine) Cached() int64 {
	return e.cached
}

// Parts returns the number of cached parts.
func (e *Engine) Parts() int {
	return len(e.index)
}

// SetCapacity sets the memory of the engine, in tokens; 0 means unbounded.
func (e *Engine) SetCapacity(tokens int64) {
	e.capacity = tokens
	e.evict()
}

// SetRunning sets the memory of the running requests, and evicts what has no room beside them.
func (e *Engine) SetRunning(tokens int64) {
	e.running = min(max(0, tokens), maxRunning)
	e.evict()
}

// Restart forgets all parts.
func (e *Engine) Restart() {
	for key := range e.index {
		e.pool.remove(key, e.number)
	}
	clear(e.index)
	e.entries, e.first, e.last, e.free, e.cached = nil, none, none, none, 0
}

// Held returns how many parts at the beginning of a chain are cached.
func (e *Engine) Held(c *Chain) int {
	for i, p := range c.Parts() {
		if _, found := e.index[p.Key]; !found {
			return i
		}
	}
	return c.count
}

// Load records that the engine is sent a prompt, by a request with the given identity: all
// shared parts are then cached, but for those from a part on that exceeds the memory.
func (e *Engine) Load(c *Chain, loader uint64) {
	// The first part is moved to the front last: a part is never evicted before those that
	// follow it, as these are of no use alone.
	for i := e.fitting(c) - 1; i >= 0; i-- {
		e.touch(&c.parts[i], loader)
	}
	e.evict()
}

// fitting returns how many parts at the beginning of a chain fit into the memory.
func (e *Engine) fitting(c *Chain) int {
	for i := range c.Parts() {
		if e.capacity > 0 && blocks(c.parts[i].Tokens) > e.capacity {
			return i
		}
	}
	return c.count
}

// Unload forgets the parts of a chain that a request was to load. It is called if the request
// failed before its first event.
func (e *Engine) Unload(c *Chain, loader uint64) {
	for _, p := range c.Parts() {
		if at, found := e.index[p.Key]; found && e.entries[at].loader == loader {
			e.drop(at)
		}
	}
}

func (e *Engine) touch(p *Part, loader uint64) {
	at, found := e.index[p.Key]
	if found {
		e.unlink(at)
	} else {
		if len(e.index) >= e.pool.maxParts() {
			e.drop(e.last)
		}
		at = e.allocate()
		e.entries[at] = entry{key: p.Key, loader: loader, tokens: int32(p.Tokens)}
		e.index[p.Key] = at
		e.cached += blocks(p.Tokens)
		e.pool.add(p.Key, e.number)
	}
	e.pushFirst(at)
}

// evict drops the least recently used parts until the rest has room.
func (e *Engine) evict() {
	if e.capacity <= 0 {
		return
	}
	for e.last != none && e.cached+e.running > e.capacity {
		e.drop(e.last)
	}
}

func (e *Engine) allocate() int32 {
	if e.free != none {
		at := e.free
		e.free = e.entries[at].older
		return at
	}
	e.entries = append(e.entries, entry{})
	return int32(len(e.entries) - 1)
}

func (e *Engine) drop(at int32) {
	e.unlink(at)
	x := &e.entries[at]
	e.pool.remove(x.key, e.number)
	delete(e.index, x.key)
	e.cached -= blocks(int(x.tokens))
	x.older = e.free
	e.free = at
}

func (e *Engine) pushFirst(at int32) {
	x := &e.entries[at]
	x.newer, x.older = none, e.first
	if e.first != none {
		e.entries[e.first].newer = at
	} else {
		e.last = at
	}
	e.first = at
}

func (e *Engine) unlink(at int32) {
	x := &e.entries[at]
	if x.newer != none {
		e.entries[x.newer].older = x.older
	} else {
		e.first = x.older
	}
	if x.older != none {
		e.entries[x.older].newer = x.newer
	} else {
		e.last = x.newer
	}
}
