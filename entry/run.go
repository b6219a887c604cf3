package entry

import (
	"context"
	"sync"

	"github.com/peridotmount/peridotmount/dispatch"
)

// run is one execution of a keyed request on this host. One producer adds its
// tokens and ends it; any number of readers follow it from any offset, so that
// a caller that comes back finds what it missed. Invariant: tokens are only
// appended, and nothing changes once end is set.
type run struct {
	id     string
	digest string
	// nonce names this execution in the start record.
	nonce string

	mu       sync.Mutex
	tokens   []string
	location dispatch.Location
	end      *answer
	recorded bool
	changed  chan struct{}
}

func newRun(id, digest, nonce string) *run {
	return &run{id: id, digest: digest, nonce: nonce, changed: make(chan struct{})}
}

// name tells this execution apart from others of the same request.
func (r *run) name() string {
	return r.id + "." + r.nonce
}

func (r *run) add(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, token)
	r.wake()
}

func (r *run) locate(l dispatch.Location) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.location = l
}

func (r *run) place() dispatch.Location {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.location
}

// finish ends the run; recorded tells that the answer is durable. Only the
// first end counts.
func (r *run) finish(a *answer, recorded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	r.end = a
	r.recorded = recorded
	if len(r.tokens) == 0 {
		r.tokens = a.tokens()
	}
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// since returns the tokens from offset on, the end if it is there, and a
// channel that is closed at the next change.
func (r *run) since(offset int) (tokens []string, end *answer, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < len(r.tokens) {
		tokens = r.tokens[offset:]
	}
	return tokens, r.end, r.changed
}

// known returns all tokens so far.
func (r *run) known() []string {
	tokens, _, _ := r.since(0)
	return append([]string(nil), tokens...)
}

func (r *run) markRecorded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = true
}

func (r *run) isRecorded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded
}

func (r *run) ended() bool {
	_, end, _ := r.since(0)
	return end != nil
}

// follow hands the tokens to visit as they come, each once and in order, and
// returns the end. The error is visit's, or that of ctx.
func (r *run) follow(ctx context.Context, visit dispatch.Sink) (*answer, error) {
	offset := 0
	for {
		tokens, end, changed := r.since(offset)
		for _, token := range tokens {
			if err := visit(offset, token); err != nil {
				return nil, err
			}
			offset++
		}
		if end != nil {
			return end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// await returns the end of the run.
func (r *run) await(ctx context.Context) (*answer, error) {
	return r.follow(ctx, func(int, string) error { return nil })
}
