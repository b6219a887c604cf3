package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/entry"
	"github.com/peridotmount/peridotmount/sse"
)

// answer is one whole streamed answer.
type answer struct {
	tokens int
	first  time.Duration
	total  time.Duration
	gaps   []time.Duration
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Online sends the arrivals of a profile when they are due, whatever became of
// the earlier ones, and waits for all answers.
func Online(ctx context.Context, f *Fleet, client *http.Client, p *Profile, seed uint64, length time.Duration) Result {
	rec := newRecorder(p.Name)
	start := time.Now()
	var wg sync.WaitGroup
	for _, a := range Schedule(p, seed, length, len(f.Callers)) {
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			break
		}
		rec.note(func(r *Result) { r.Sent++ })
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(ctx, client, f.Callers[a.Host], p, &a, due, rec)
		}()
	}
	wg.Wait()
	return rec.finish()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

func send(ctx context.Context, client *http.Client, host string, p *Profile, a *Arrival, due time.Time, rec *recorder) {
	req, err := newChatRequest(ctx, host, p, a)
	if err != nil {
		rec.note(func(r *Result) { r.Failed++ })
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		rec.note(func(r *Result) { r.Failed++ })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		rec.note(func(r *Result) { r.Refused[resp.StatusCode]++ })
		return
	}
	got, whole := read(resp, due)
	if !whole || got.tokens != p.MaxTokens {
		rec.note(func(r *Result) { r.Wrong++ })
		return
	}
	rec.answered(got)
}

func newChatRequest(ctx context.Context, host string, p *Profile, a *Arrival) (*http.Request, error) {
	body, err := json.Marshal(chatBody{
		Model:     p.Service,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt}},
		MaxTokens: p.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+string(completion.Chat), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.HeaderClass, p.Class)
	return req, nil
}

// read reads a streamed answer and reports whether it came to its proper end.
func read(resp *http.Response, due time.Time) (*answer, bool) {
	events := sse.NewReader(resp.Body)
	got := &answer{}
	last := due
	for {
		data, err := events.Next()
		if err != nil {
			return got, false
		}
		if string(data) == "[DONE]" {
			got.total = time.Since(due)
			return got, true
		}
		if !carriesToken(data) {
			continue
		}
		now := time.Now()
		if got.tokens == 0 {
			got.first = now.Sub(due)
		} else {
			got.gaps = append(got.gaps, now.Sub(last))
		}
		got.tokens++
		last = now
	}
}

func carriesToken(data []byte) bool {
	var chunk completion.Response
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return false
	}
	delta := chunk.Choices[0].Delta
	return delta != nil && delta.Content != ""
}
