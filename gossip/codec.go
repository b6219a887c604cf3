package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxWireBytes bounds a message after decompression.
const maxWireBytes = 4 << 20

// compressors keeps the tables of writers, which cost more than a message.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// wireEntry is an Entry whose data is in the message as JSON.
type wireEntry struct {
	Entry
	Data json.RawMessage `json:"data"`
}

type wireMessage struct {
	From    Peer        `json:"from"`
	Known   int64       `json:"known,omitempty"`
	Digest  *Digest     `json:"digest,omitempty"`
	Entries []wireEntry `json:"entries,omitempty"`
}

// Encode returns the compressed JSON of m. Entries whose data is no JSON are
// left out.
func Encode(m *Message) ([]byte, error) {
	w := wireMessage{From: m.From, Known: m.Known, Digest: m.Digest}
	for i := range m.Entries {
		if json.Valid(m.Entries[i].Data) {
			w.Entries = append(w.Entries, wireEntry{Entry: m.Entries[i], Data: m.Entries[i].Data})
		}
	}
	var out bytes.Buffer
	z := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	z.Reset(&out)
	if err := json.NewEncoder(z).Encode(&w); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return out.Bytes(), nil
}

// Decode reads what Encode wrote. It returns ErrMalformed for anything else.
func Decode(data []byte) (*Message, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(z, maxWireBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(text) > maxWireBytes {
		return nil, errors.Wrap(ErrMalformed, "too large")
	}
	var w wireMessage
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	m := &Message{From: w.From, Known: w.Known, Digest: w.Digest}
	for i := range w.Entries {
		e := w.Entries[i].Entry
		e.Data = w.Entries[i].Data
		m.Entries = append(m.Entries, e)
	}
	return m, nil
}
