package entry

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
)

// errEventID means an event id is not one of this system's.
var errEventID = errors.New("not an event id of this system")

// eventID names one token of a streamed keyed answer. Callers hand it back to
// get the rest of the answer from any host, which keeps nothing of the stream:
// prefix proves that the host has the same tokens, at tells which engine may
// still have them.
type eventID struct {
	request string
	// offset is that of the token that the event carries.
	offset int
	// prefix is the hash of all tokens up to that one.
	prefix uint64
	// at may be empty.
	at dispatch.Location
}

// Fields of an event id, joined by eventIDSeparator.
const (
	eventIDSeparator = ":"
	eventIDFields    = 5
	maxEventIDBytes  = 1024
)

// String returns `request:offset:prefix:endpoint:stream`.
func (e eventID) String() string {
	return strings.Join([]string{
		e.request,
		strconv.Itoa(e.offset),
		fmt.Sprintf("%016x", e.prefix),
		url.QueryEscape(e.at.Endpoint),
		url.QueryEscape(e.at.StreamID),
	}, eventIDSeparator)
}

func parseEventID(text string) (*eventID, error) {
	fields := strings.Split(text, eventIDSeparator)
	if len(fields) != eventIDFields || len(text) > maxEventIDBytes {
		return nil, errEventID
	}
	e := &eventID{request: fields[0]}
	var err error
	if e.offset, err = strconv.Atoi(fields[1]); err != nil || e.offset < 0 {
		return nil, errEventID
	}
	if e.prefix, err = strconv.ParseUint(fields[2], 16, 64); err != nil {
		return nil, errEventID
	}
	if e.at.Endpoint, err = url.QueryUnescape(fields[3]); err != nil {
		return nil, errEventID
	}
	if e.at.StreamID, err = url.QueryUnescape(fields[4]); err != nil {
		return nil, errEventID
	}
	return e, nil
}

// ownsStream reports whether the stream belongs to the event's request: the id
// comes from outside, and must not open another request's stream.
func (e *eventID) ownsStream() bool {
	return strings.HasPrefix(e.at.StreamID, e.request+".")
}

// prefixHash hashes the tokens of an answer one by one.
type prefixHash struct {
	digest xxhash.Digest
}

func newPrefixHash() *prefixHash {
	p := &prefixHash{}
	p.digest.Reset()
	return p
}

// add appends the next token and returns the hash of all tokens so far. The
// token's length goes in too, so that other cuts of the same text differ.
func (p *prefixHash) add(token string) uint64 {
	// Writes to a hash never fail.
	_, _ = p.digest.WriteString(strconv.Itoa(len(token)))
	_, _ = p.digest.WriteString(eventIDSeparator)
	_, _ = p.digest.WriteString(token)
	return p.digest.Sum64()
}
