package heads

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// verdict is what a scanner says of a stream.
type verdict struct {
	// ended are the requests that ended, by bytes and fields of their heads, and ends where they did.
	ended []headSize
	ends  []int
	// last is what is not ended, by bytes and fields so far.
	last  headSize
	state state
}

type headSize struct{ bytes, fields int }

// scan returns the verdict on pieces of a stream.
func scan(pieces ...[]byte) verdict {
	var v verdict
	var s scanner
	at := 0
	for _, p := range pieces {
		for len(p) > 0 {
			n, ended := s.next(p)
			p = p[n:]
			at += n
			if ended {
				v.ended = append(v.ended, headSize{s.bytes, s.fields})
				v.ends = append(v.ends, at)
				s = scanner{}
			}
		}
	}
	v.last, v.state = headSize{s.bytes, s.fields}, s.state
	return v
}

func (v *verdict) equals(o *verdict) bool {
	if len(v.ended) != len(o.ended) || v.last != o.last || v.state != o.state {
		return false
	}
	for i := range v.ended {
		if v.ended[i] != o.ended[i] {
			return false
		}
	}
	return true
}

// streams are streams of requests, with the number of requests that end in each.
var streams = map[string]int{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n":                                                                  1,
	"GET / HTTP/1.1\nHost: h\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n":                                       2,
	"\r\n\n\r\nGET / HTTP/1.1\r\n\r\n":                                                                   1,
	"POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\nGET\r\n\r\nGET / HTTP/1.1\r\n\r\n":                      2,
	"POST / HTTP/1.1\r\ncontent-length:\t 3 \r\nContent-Length: 3\r\n\r\nabcG":                           1,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nGET\r\n\r\n0\r\nA: b\r\n\r\nGET / ":   1,
	"POST / HTTP/1.1\r\nTransfer-Encoding: CHUNKED\r\nContent-Length: 9\r\n\r\n0\r\n\r\nGET / H\r\n":     1,
	"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nGET / H\r\n\r\nA: b\r\n":                          0,
	"POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nA: b\r\n":                                              0,
	"POST / HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\nA: b\r\n":                                           0,
	"POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat("0", 80) + "5\r\n\r\nabcde":                   0,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                                         0,
	"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n":                                    0,
	"GET / HTTP/1.1\r\nA: b\r\n \r\n\tc\r\n\r\n":                                                         1,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":       0,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n , x\r\n\r\n0\r\n\r\n":                             0,
	"POST / HTTP/1.1\r\nContent-Length: 1\r\n\t2\r\n\r\nGET / HTTP/1.1\r\n":                              0,
	"POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n":                        2,
	"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET /":           0,
	"POST /" + strings.Repeat("x", 80) + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /": 0,
}

// TestEverySplitGivesTheSameVerdict guards against a count that depends on how a stream comes in pieces.
func TestEverySplitGivesTheSameVerdict(t *testing.T) {
	for stream, ended := range streams {
		whole := scan([]byte(stream))
		if len(whole.ended) != ended {
			t.Errorf("%q: %d requests ended, want %d", stream, len(whole.ended), ended)
		}
		for first := range len(stream) + 1 {
			for second := first; second <= len(stream); second++ {
				if got := scan([]byte(stream[:first]), []byte(stream[first:second]), []byte(stream[second:])); !got.equals(&whole) {
					t.Fatalf("%q split at %d and %d: %+v, want %+v", stream, first, second, got, whole)
				}
			}
		}
		if got := scan(bytes.SplitAfter([]byte(stream), nil)...); !got.equals(&whole) {
			t.Errorf("%q, byte by byte: %+v, want %+v", stream, got, whole)
		}
	}
}

// TestBodiesAreNoHeads guards against heads whose cost is hidden, or bodies whose lines count.
func TestBodiesAreNoHeads(t *testing.T) {
	head := "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n"
	v := scan([]byte(head + "A:\r\nB:\r\n" + head + "A:\r\n"))
	if len(v.ended) != 1 || v.ended[0] != (headSize{len(head), 1}) || v.last != (headSize{len(head), 1}) {
		t.Errorf("%+v", v)
	}
	// Trailers are fields that net/http keeps.
	head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	if v = scan([]byte(head + "4\r\nA:\r\n\r\n0\r\nA:\r\nB:\r\n")); v.last != (headSize{len(head) + 8, 3}) {
		t.Errorf("%+v", v)
	}
}

// TestLinesBehindALostEndCount guards against fields that cost nothing as it can't be told whether they
// belong to a body or to a head.
func TestLinesBehindALostEndCount(t *testing.T) {
	head := "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
	if v := scan([]byte(head + "A:\r\nB:\r\n")); v.state != lost || v.last != (headSize{len(head) + 8, 3}) {
		t.Errorf("%+v", v)
	}
}

// FuzzScanner compares the ends of requests with those that net/http finds, and the verdicts on pieces.
func FuzzScanner(f *testing.F) {
	for stream := range streams {
		f.Add([]byte(stream), 7)
	}
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		whole := scan(stream)
		at = min(max(at, 0), len(stream))
		if got := scan(stream[:at], stream[at:]); !got.equals(&whole) {
			t.Fatalf("split at %d: %+v, want %+v", at, got, whole)
		}
		// What net/http reads as whole requests has to end for the scanner too, as long as no request was
		// lost: it would take a later head for a body.
		unread := bytes.NewReader(stream)
		r := bufio.NewReader(unread)
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil || req.Method == "PRI" || req.ProtoMajor != 1 {
				return
			}
			if i >= len(whole.ended) {
				if whole.state != lost {
					t.Fatalf("request %d has ended: %+v", i, whole)
				}
				return
			}
			if end := len(stream) - unread.Len() - r.Buffered(); whole.ends[i] != end {
				t.Fatalf("request %d ended at %d, net/http read up to %d", i, whole.ends[i], end)
			}
			if fields := len(req.Header) + len(req.Trailer); whole.ended[i].fields < fields {
				t.Fatalf("request %d: %d fields counted, %d read", i, whole.ended[i].fields, fields)
			}
		}
	})
}
