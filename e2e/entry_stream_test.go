package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	streamTokens = 120
	// streamBreak is the number of tokens read before the failure.
	streamBreak = 10
)

// streamPart is what was read of a stream up to its break or end.
type streamPart struct {
	status  int
	request string
	text    string
	tokens  int
	lastID  string
	// nextID is the id of an event whose data is still to come.
	nextID string
	done   bool
	state  string
}

// readStream sends a keyed streamed chat and reads at most limit tokens; then
// onBreak is called, and the rest read until the connection breaks, unless
// onBreak tells to give it up.
func readStream(t *testing.T, d *daemon, key, message, lastID string, limit int, onBreak func() bool) *streamPart {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := fmt.Sprintf(`{"model":"towel-writer","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, streamTokens, message)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+shopKey)
	req.Header.Set("Idempotency-Key", key)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &streamPart{}
	}
	defer func() { _ = resp.Body.Close() }()
	p := &streamPart{status: resp.StatusCode, request: resp.Header.Get("Peridotmount-Request-Id"), lastID: lastID}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		p.line(t, lines.Text())
		if limit > 0 && p.tokens == limit {
			limit = 0
			if onBreak() {
				return p
			}
		}
	}
	p.state = resp.Trailer.Get("Peridotmount-Run-State")
	return p
}

// line handles one line of the stream. The id of an event comes before its
// data; an event that broke off between them counts as not read.
func (p *streamPart) line(t *testing.T, line string) {
	t.Helper()
	if id, found := strings.CutPrefix(line, "id: "); found {
		p.nextID = id
	}
	data, found := strings.CutPrefix(line, "data: ")
	if !found {
		return
	}
	if data == "[DONE]" {
		p.done = true
		return
	}
	var chunk openai.ChatCompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return
	}
	if content := chunk.Choices[0].Delta.Content; content != "" {
		p.text += content
		p.tokens++
		p.lastID = p.nextID
	}
}

// resumeStream comes back to another host until the rest is read.
func resumeStream(t *testing.T, d *daemon, key, message string, first *streamPart) *streamPart {
	t.Helper()
	whole := *first
	eventually(t, "stream resumed to its end", func() bool {
		rest := readStream(t, d, key, message, whole.lastID, 0, nil)
		if rest.status != http.StatusOK {
			return false
		}
		whole.text += rest.text
		whole.tokens += rest.tokens
		whole.lastID, whole.done, whole.state = rest.lastID, rest.done, rest.state
		return rest.done
	})
	return &whole
}

// streamsStarted returns how many streams of a request the engines ran.
func (f *fleet) streamsStarted(request string) int {
	f.t.Helper()
	ids := make(map[string]bool)
	for _, e := range f.engines {
		var runs []standin.Run
		f.call(http.MethodGet, e.host.Address+"/runs", nil, &runs)
		for _, r := range runs {
			if strings.HasPrefix(r.StreamID, request+".") {
				ids[r.StreamID] = true
			}
		}
	}
	return len(ids)
}

// TestEntryStreamAfterHostLost kills the host that serves a stream: the caller
// gets the rest from another, token by token, from the engine that has it.
func TestEntryStreamAfterHostLost(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 2})
	const key, message = "host-lost", "a long caption"
	first := readStream(t, f.daemons[0], key, message, "", streamBreak, func() bool {
		f.daemons[0].kill()
		f.unlist(f.daemons[0].name)
		return false
	})
	if first.done || first.tokens < streamBreak {
		t.Fatalf("first part %+v", first)
	}
	whole := resumeStream(t, f.daemons[1], key, message, first)
	if want := expected(message, streamTokens); whole.text != want || whole.state != "completed" {
		t.Errorf("got %d tokens, state %q: %q, want %q", whole.tokens, whole.state, whole.text, want)
	}
	if n := f.streamsStarted(first.request); n != 1 {
		t.Errorf("%d streams were started", n)
	}
}

// TestEntryStreamAfterBothLost kills the host and the engine under a stream.
func TestEntryStreamAfterBothLost(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 1})
	const key, message = "both-lost", "another long caption"
	first := readStream(t, f.daemons[0], key, message, "", streamBreak, func() bool {
		f.engines[0].kill()
		f.daemons[0].kill()
		f.unlist(f.daemons[0].name)
		f.unlist(f.engines[0].host.Name)
		return false
	})
	f.addEngine("engine-new")
	whole := resumeStream(t, f.daemons[1], key, message, first)
	if want := expected(message, streamTokens); whole.text != want || whole.state != "completed" {
		t.Errorf("got %d tokens, state %q: %q, want %q", whole.tokens, whole.state, whole.text, want)
	}
}

// TestEntryStreamAfterFreeze freezes the host that serves a stream; the caller
// gives it up and goes on elsewhere. The frozen host wakes and changes nothing.
func TestEntryStreamAfterFreeze(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 2})
	const key, message = "frozen", "a caption on ice"
	first := readStream(t, f.daemons[0], key, message, "", streamBreak, func() bool {
		f.daemons[0].freeze()
		return true
	})
	whole := resumeStream(t, f.daemons[1], key, message, first)
	f.daemons[0].thaw()
	want := expected(message, streamTokens)
	if whole.text != want || whole.state != "completed" {
		t.Errorf("got %d tokens, state %q: %q, want %q", whole.tokens, whole.state, whole.text, want)
	}
	for _, d := range f.daemons {
		again := resumeStream(t, d, key, message, &streamPart{})
		if again.text != want {
			t.Errorf("%s: got %q again, want %q", d.name, again.text, want)
		}
	}
}
