package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/keeper"
)

// keyedCall is a request with an identity, customer and key, under which it is
// kept.
type keyedCall struct {
	customer string
	key      string
	// attempt counts the earlier attempts that ended as not run.
	attempt int
	id      string
	// digest is the hash of what is asked for.
	digest     string
	idempotent bool
	// resume names the last token that the caller has, or is nil.
	resume *eventID
	// onlyResume tells that the request may not be run, only read again from
	// the engine that has run it.
	onlyResume bool
	deadline   time.Time
	hold       *hold
	// execute carries the request out and returns its end.
	execute func(ctx context.Context, r *run) *answer
}

// newKeyedCall returns the keyed call of a request, or nil if the request needs
// no key and has none. One that is not idempotent always gets a key: at most
// one run and a readable result both need an identity.
func (e *Entry) newKeyedCall(r *http.Request, c *caller, body []byte, idempotent bool) (*keyedCall, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	resume, err := readResume(r)
	if err != nil {
		return nil, err
	}
	switch {
	case key == "" && resume != nil:
		return nil, invalid(HeaderIdempotencyKey, "a stream is resumed under its idempotency key")
	case key == "" && idempotent:
		return nil, nil
	case key == "":
		key = newID()
	case !validKey(key):
		return nil, invalid(HeaderIdempotencyKey, "an idempotency key has 1 to 255 printable ASCII characters")
	}
	k := &keyedCall{
		customer:   c.customer.Name,
		key:        key,
		id:         keeper.RequestID(c.customer.Name, key, e.opts.Partitions),
		digest:     digest(r, body),
		idempotent: idempotent,
		resume:     resume,
		hold:       c.hold,
	}
	if resume != nil && resume.request != k.id {
		return nil, invalid(headerLastEventID, "the event belongs to another request")
	}
	return k, nil
}

func readResume(r *http.Request) (*eventID, error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return nil, nil
	}
	id, err := parseEventID(text)
	if err != nil {
		return nil, invalid(headerLastEventID, err.Error())
	}
	return id, nil
}

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// digest hashes what a request asks for. The class is left out: the same work
// may be asked for again with more urgency.
func digest(r *http.Request, body []byte) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery} {
		// Writes to a hash never fail.
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ledgerKey is the key under which the current attempt is kept.
func (k *keyedCall) ledgerKey() string {
	return attemptKey(k.key, k.attempt)
}

// resumable reports whether the engine that ran the request may still be asked.
func (k *keyedCall) resumable() bool {
	return k.resume != nil && k.resume.at.Endpoint != "" && k.resume.ownsStream()
}
