package promptcache

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
)

func chain(tokens int, ids ...string) Chain {
	all := make([]int, len(ids)+1)
	for i := range ids {
		all[i] = tokens
	}
	return NewChain("", append(ids, "own"), all, tokens*len(ids))
}

// TestChainKeys guards against parts that are taken for the same though what comes before them,
// or their workspace, differs.
func TestChainKeys(t *testing.T) {
	key := func(workspace string, n int, ids ...string) uint64 {
		c := NewChain(workspace, ids, nil, 100)
		return c.Parts()[n].Key
	}
	seen := make(map[uint64]string)
	for name, k := range map[string]uint64{
		"a": key("", 0, "a", "own"), "b": key("", 0, "b", "own"), "a b": key("", 1, "a", "b", "own"), "b a": key("", 1, "b", "a", "own"),
		"ab": key("", 0, "ab", "own"), "a b of w": key("w", 1, "a", "b", "own"), "a b of v": key("v", 1, "a", "b", "own"),
	} {
		if seen[k] != "" {
			t.Errorf("%q and %q have the same key", name, seen[k])
		}
		seen[k] = name
	}
	if key("v", 0, "a", "own") != key("w", 0, "a", "other") {
		t.Error("the first part is not shared by workspaces")
	}
}

// TestChainTokens guards against missing, negative and huge numbers of tokens.
func TestChainTokens(t *testing.T) {
	for _, x := range []struct {
		ids           []string
		tokens        []int
		prompt        int
		shared, total int
	}{
		{nil, nil, 450, 0, 450},
		{[]string{"own"}, []int{450}, 450, 0, 450},
		{[]string{"a", "b", "own"}, []int{100, 120, 350}, 570, 220, 570},
		{[]string{"a", "b", "own"}, nil, 600, 400, 600},
		{[]string{"a", "own"}, []int{100, 50}, 0, 100, 100},
		{[]string{"a", "own"}, []int{-5, 50}, 100, 0, 100},
		{[]string{"a", "own"}, []int{math.MaxInt, 50}, 100, maxTokens, maxTokens},
		{make([]string, 100), make([]int, 100), 100, 0, 100},
	} {
		c := NewChain("", x.ids, x.tokens, x.prompt)
		if c.Shared() != x.shared || c.Total() != x.total {
			t.Errorf("%d parts %v of %d tokens: %d shared of %d, want %d of %d", len(x.ids), x.tokens, x.prompt, c.Shared(), c.Total(), x.shared, x.total)
		}
		parsed := ChainOf(c.Parts(), c.Total())
		if parsed != c {
			t.Errorf("%v became %v", c, parsed)
		}
	}
}

// TestOldPartsAreEvicted guards against a model that expects more than the memory of an engine
// holds, in blocks, beside the running requests.
func TestOldPartsAreEvicted(t *testing.T) {
	p := NewPool()
	e := p.Add(0, 1000)
	a, b, c := chain(300, "a"), chain(300, "b"), chain(300, "c")
	e.Load(&a, 1)
	e.Load(&b, 2)
	e.Load(&a, 3)
	if e.Cached() != 2*304 {
		t.Errorf("%d tokens are cached, want two parts of 19 blocks", e.Cached())
	}
	e.SetRunning(200)
	e.Load(&c, 4)
	if e.Held(&a) != 1 || e.Held(&b) != 0 || e.Held(&c) != 1 {
		t.Error("not the least recently used part was evicted")
	}
	e.SetRunning(600)
	if e.Held(&a) != 0 || e.Held(&c) != 1 || e.Cached() != 304 {
		t.Error("running requests took no memory of the cached parts")
	}
	e.SetRunning(5000)
	if e.Parts() != 0 || e.Cached() != 0 {
		t.Error("parts are cached beside requests that need all memory")
	}
}

// TestPartsCountOnlyAfterThoseBefore guards against parts whose beginning is gone.
func TestPartsCountOnlyAfterThoseBefore(t *testing.T) {
	p := NewPool()
	e := p.Add(0, 500)
	long, other := chain(100, "a", "b", "c"), chain(100, "x")
	e.Load(&long, 1)
	e.Load(&other, 2)
	for i := 0; e.Held(&long) > 0; i++ {
		if e.Held(&long) != 3-i {
			t.Fatalf("%d parts are left after %d were evicted", e.Held(&long), i)
		}
		x := chain(100, fmt.Sprint("x", i))
		e.SetRunning(int64(100*i) + 50)
		e.Load(&x, 3)
	}
}

// TestFailedLoadsAreForgotten guards against parts that a request was to load that failed, and
// against the loss of those that were there before.
func TestFailedLoadsAreForgotten(t *testing.T) {
	p := NewPool()
	e := p.Add(0, 0)
	first, both := chain(100, "a"), chain(100, "a", "b")
	e.Load(&first, 1)
	e.Load(&both, 2)
	e.Unload(&both, 2)
	if e.Held(&both) != 1 {
		t.Errorf("%d parts are cached, want the one that was before", e.Held(&both))
	}
}

// TestHoldersFollowTheEngines compares the index of a pool to its engines under random changes:
// loads, failures, restarts, changes of memory, and engines that leave.
func TestHoldersFollowTheEngines(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := NewPool()
	var engines []*Engine
	for i := range 70 {
		engines = append(engines, p.Add(i%3, 5000))
	}
	for i := range 20_000 {
		at := r.IntN(len(engines))
		e := engines[at]
		c := chain(50+r.IntN(300), fmt.Sprint("a", r.IntN(5)), fmt.Sprint("b", r.IntN(40)))
		switch r.IntN(20) {
		case 0:
			e.Restart()
		case 1:
			e.SetRunning(int64(r.IntN(4000)))
		case 2:
			e.SetCapacity(int64(2000 + r.IntN(4000)))
		case 3:
			p.Remove(e)
			engines[at] = p.Add(r.IntN(3), 5000)
		case 4:
			e.Unload(&c, uint64(r.IntN(i+1)))
		default:
			e.Load(&c, uint64(i))
		}
		if i%50 > 0 {
			continue
		}
		holders := p.Holders(&c)
		for _, e := range engines {
			held := 0
			for held < 2 && holders[held].Has(e.Number()) {
				held++
			}
			if held != e.Held(&c) {
				t.Fatalf("step %d: the index has %d parts for engine %d, which has %d", i, held, e.Number(), e.Held(&c))
			}
			if e.capacity > 0 && e.cached+e.running > e.capacity && e.cached > 0 {
				t.Fatalf("step %d: %d cached and %d running tokens in %d", i, e.cached, e.running, e.capacity)
			}
			if p.Group(e.Number()>>6) < 0 || p.Group(e.Number()>>6) > 2 {
				t.Fatalf("engine %d is in no group", e.Number())
			}
		}
	}
	for _, e := range engines {
		p.Remove(e)
	}
	if len(p.holders) != 0 || p.engines != 0 {
		t.Errorf("%d parts are left without engines", len(p.holders))
	}
}

// TestMemoryIsBounded has clients send ever new parts to 760 engines with unbounded memory. A
// model without bounds would grow until the process has no memory.
func TestMemoryIsBounded(t *testing.T) {
	const engines, bound = 760, 48 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := NewPool()
	var all []*Engine
	for i := range engines {
		all = append(all, p.Add(i%12, 0))
	}
	for i := range engines * 1000 {
		c := chain(100, fmt.Sprint(i%16), fmt.Sprint("new", i))
		all[i%engines].Load(&c, uint64(i))
	}
	parts := 0
	for _, e := range all {
		parts += e.Parts()
	}
	if parts > maxPoolParts+engines {
		t.Errorf("%d parts are modelled, want at most %d", parts, maxPoolParts)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d engines with %d parts: %.1f MB", engines, parts, float64(used)/(1<<20))
	if used > bound {
		t.Errorf("the model takes %d bytes, want at most %d", used, bound)
	}
	runtime.KeepAlive(all)
}

// TestPartWithoutThoseBeforeIsNotHeld guards against a part that counts as cached though the part
// before it was never read: the request that was to read that one failed.
func TestPartWithoutThoseBeforeIsNotHeld(t *testing.T) {
	p := NewPool()
	e := p.Add(0, 10_000)
	first, both := chain(100, "a"), chain(100, "a", "b")
	e.Load(&first, 1)
	e.Load(&both, 2)
	e.Unload(&first, 1)
	if held := e.Held(&both); held != 0 || e.Parts() != 1 {
		t.Errorf("%d parts count, %d are cached", held, e.Parts())
	}
}
