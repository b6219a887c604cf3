//go:build review3

package standins3

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newID returns the id of a request.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// client sends each request on a new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// attempt is one attempt of a client at a stream.
type attempt struct {
	id     string
	host   string
	sent   time.Time
	status int
	// first and last are the first and last event that came, 0 for none.
	first, last int
	// whole is set if the response ended as complete.
	whole      bool
	retryAfter time.Duration
	err        error
}

// streamRequest is a client's request for a stream.
type streamRequest struct {
	path     string
	deadline time.Time
	// resumes and after are the attempt that brought the first event, and the last event that came.
	resumes string
	after   int
}

// try sends a request to a host and reads its events. The client breaks the connection off when ctx ends.
func (s *streamRequest) try(ctx context.Context, h *host, each func(event int)) *attempt {
	a := &attempt{id: newID(), host: h.name, sent: time.Now()}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+s.path, bytes.NewReader([]byte("a prompt")))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "450,400")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+a.id[:8]+":250")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(s.deadline).Milliseconds(), 10))
	if s.after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.after))
		req.Header.Set("Resumes", s.resumes)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return a
	}
	lines := bufio.NewReader(resp.Body)
	id := 0
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.whole = err == io.EOF
			if !a.whole {
				a.err = err
			}
			return a
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(line[len("id:"):]))
		case line == "" && id > 0:
			if a.first == 0 {
				a.first = id
			}
			a.last = id
			if each != nil {
				each(id)
			}
			id = 0
		}
	}
}
