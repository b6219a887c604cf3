package jobs

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// itemDescriptor describes an item in the first line of a payload, which precedes
// the bodies.
type itemDescriptor struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Tokens int64             `json:"tokens"`
	Bytes  int               `json:"bytes"`
}

// descriptorsEnd terminates the line of descriptors; compact JSON contains no newline.
const descriptorsEnd = '\n'

// EncodeItems returns the payload of items: one line of JSON that describes them,
// followed by their concatenated bodies.
func EncodeItems(items []Item) ([]byte, error) {
	descriptors := make([]itemDescriptor, len(items))
	for i := range items {
		descriptors[i] = itemDescriptor{
			ID: items[i].ID, Path: items[i].Path, Header: items[i].Header, Tokens: items[i].Tokens, Bytes: len(items[i].Body),
		}
	}
	out, err := json.Marshal(descriptors)
	if err != nil {
		return nil, errors.Wrap(err, "encode items")
	}
	out = append(out, descriptorsEnd)
	for i := range items {
		out = append(out, items[i].Body...)
	}
	return out, nil
}

// DecodeItems decodes a payload written by EncodeItems, or returns ErrMalformed.
// The bodies of the items share the memory of payload.
func DecodeItems(payload []byte) ([]Item, error) {
	line, bodies, found := bytes.Cut(payload, []byte{descriptorsEnd})
	var descriptors []itemDescriptor
	if !found {
		return nil, errors.Wrap(ErrMalformed, "items payload has no line of descriptors")
	}
	if err := json.Unmarshal(line, &descriptors); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	out := make([]Item, len(descriptors))
	for i := range descriptors {
		d := &descriptors[i]
		if d.Bytes < 0 || d.Bytes > len(bodies) {
			return nil, errors.Wrapf(ErrMalformed, "item %d (%q): body truncated or its length invalid: expected %d bytes", i, d.ID, d.Bytes)
		}
		out[i] = Item{ID: d.ID, Path: d.Path, Header: d.Header, Tokens: d.Tokens, Body: bodies[:d.Bytes:d.Bytes]}
		bodies = bodies[d.Bytes:]
	}
	return out, nil
}
