package gossip

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/pkg/errors"
)

// FuzzDecode feeds messages of any content, compressed as peers send them, to
// a store.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"a"},"entries":[{"kind":"k","origin":"b","scope":"global","version":{"counter":2},"data":1}]}`))
	f.Add([]byte(`{"digest":{"after":"b","through":"a","origins":[{"n":"a","i":9}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var body bytes.Buffer
		z := gzip.NewWriter(&body)
		_, _ = z.Write(text)
		_ = z.Close()
		m, err := Decode(body.Bytes())
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("error %v", err)
			}
			return
		}
		s := NewStore(Options{Host: "self", Zone: "z", Region: "r"})
		s.Publish("k", "k", ScopeGlobal, []byte("1"))
		answer := s.Answer(m)
		if _, err := Encode(&answer); err != nil {
			t.Fatal(err)
		}
		if own := s.Lookup("k", "k"); len(own) == 0 || own[0].Origin == "" {
			t.Error("own entry is gone")
		}
	})
}

func TestDecodeRefusesBombs(t *testing.T) {
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	_, _ = z.Write(bytes.Repeat([]byte(" "), maxWireBytes))
	_, _ = z.Write([]byte("{}"))
	_ = z.Close()
	if _, err := Decode(body.Bytes()); !errors.Is(err, ErrMalformed) {
		t.Errorf("%d bytes that unpack to more than allowed: %v", body.Len(), err)
	}
}

// TestMessageCutAtEachByte guards against a message that is taken for whole after its sender stopped
// inside it.
func TestMessageCutAtEachByte(t *testing.T) {
	s := NewStore(Options{Host: "self", Zone: "z", Region: "r"})
	s.Publish("k", "k", ScopeGlobal, []byte("1"))
	m := s.Request(Peer{Name: "other"})
	whole, err := Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(whole); err != nil {
		t.Fatal(err)
	}
	for at := range whole {
		if _, err := Decode(whole[:at]); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: error %v", at, len(whole), err)
		}
	}
}
