package jobs

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// inputHead is what stands of an item before the bodies.
type inputHead struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Tokens int64             `json:"tokens"`
	Bytes  int               `json:"bytes"`
}

// headEnd ends the line of heads; JSON holds none.
const headEnd = '\n'

// EncodeItems returns the payload of items: a line of JSON that describes them,
// and their bodies one after the other.
func EncodeItems(items []Item) ([]byte, error) {
	heads := make([]inputHead, len(items))
	for i := range items {
		heads[i] = inputHead{
			ID: items[i].ID, Path: items[i].Path, Header: items[i].Header, Tokens: items[i].Tokens, Bytes: len(items[i].Body),
		}
	}
	out, err := json.Marshal(heads)
	if err != nil {
		return nil, errors.Wrap(err, "encode items")
	}
	out = append(out, headEnd)
	for i := range items {
		out = append(out, items[i].Body...)
	}
	return out, nil
}

// DecodeItems reads the payload of items, or returns ErrMalformed. The bodies
// share the memory of payload.
func DecodeItems(payload []byte) ([]Item, error) {
	line, bodies, found := bytes.Cut(payload, []byte{headEnd})
	var heads []inputHead
	if !found {
		return nil, errors.Wrap(ErrMalformed, "items without their heads")
	}
	if err := json.Unmarshal(line, &heads); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	out := make([]Item, len(heads))
	for i := range heads {
		h := &heads[i]
		if h.Bytes < 0 || h.Bytes > len(bodies) {
			return nil, errors.Wrapf(ErrMalformed, "item %d (%q): body of %d bytes is cut", i, h.ID, h.Bytes)
		}
		out[i] = Item{ID: h.ID, Path: h.Path, Header: h.Header, Tokens: h.Tokens, Body: bodies[:h.Bytes:h.Bytes]}
		bodies = bodies[h.Bytes:]
	}
	return out, nil
}
