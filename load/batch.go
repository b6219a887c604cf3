package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
)

// BatchProfile is a steady supply of batch work.
type BatchProfile struct {
	// Key is the customer's bearer key, Service what its items call.
	Key     string
	Service string
	// Jobs are kept in the fleet at all times, each of Items items.
	Jobs  int
	Items int
	// MaxTokens is the length of each item's answer.
	MaxTokens int
}

// BatchResult is the progress of batch work in a span of time.
type BatchResult struct {
	Seconds         float64 `json:"seconds"`
	Items           int     `json:"items"`
	Failed          int     `json:"failed"`
	Tokens          int     `json:"tokens"`
	TokensPerSecond float64 `json:"tokens_per_s"`
}

// Batches keeps a fleet supplied with jobs.
type Batches struct {
	fleet   *Fleet
	client  *http.Client
	profile BatchProfile
	run     string
	ids     []string
}

// StartBatches submits the first jobs of a profile; run makes the names of the
// jobs unique.
func StartBatches(ctx context.Context, f *Fleet, client *http.Client, p BatchProfile, run string) (*Batches, error) {
	b := &Batches{fleet: f, client: client, profile: p, run: run}
	for range p.Jobs {
		if err := b.submit(ctx); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *Batches) host() string {
	return b.fleet.Callers[len(b.ids)%len(b.fleet.Callers)]
}

func (b *Batches) submit(ctx context.Context) error {
	file, err := b.upload(ctx)
	if err != nil {
		return errors.Wrap(err, "upload")
	}
	body, err := json.Marshal(batchRequest{
		InputFileID:      file,
		Endpoint:         string(completion.Chat),
		CompletionWindow: "24h",
		Metadata:         batchName{JobName: fmt.Sprintf("%s-%d", b.run, len(b.ids))},
	})
	if err != nil {
		return err
	}
	var out idBody
	err = b.call(ctx, http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(body), &out)
	if err != nil {
		return errors.Wrap(err, "create batch")
	}
	b.ids = append(b.ids, out.ID)
	return nil
}

type batchName struct {
	JobName string `json:"job_name"`
}

type batchRequest struct {
	InputFileID      string    `json:"input_file_id"`
	Endpoint         string    `json:"endpoint"`
	CompletionWindow string    `json:"completion_window"`
	Metadata         batchName `json:"metadata"`
}

type idBody struct {
	ID string `json:"id"`
}

type batchLine struct {
	CustomID string   `json:"custom_id"`
	Method   string   `json:"method"`
	URL      string   `json:"url"`
	Body     chatBody `json:"body"`
}

func (b *Batches) upload(ctx context.Context) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return "", err
	}
	if err := b.writeItems(part); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	var out idBody
	err = b.call(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), &form, &out)
	return out.ID, err
}

func (b *Batches) writeItems(w io.Writer) error {
	lines := json.NewEncoder(w)
	for i := range b.profile.Items {
		content := fmt.Sprintf("%s lot %d item %d", b.run, len(b.ids), i)
		err := lines.Encode(batchLine{
			CustomID: fmt.Sprintf("item-%d", i),
			Method:   http.MethodPost,
			URL:      string(completion.Chat),
			Body: chatBody{
				Model:     b.profile.Service,
				Messages:  []chatMessage{{Role: "user", Content: content}},
				MaxTokens: b.profile.MaxTokens,
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	submitTries = 100
	submitPause = 200 * time.Millisecond
)

// call sends a request and decodes the answer, trying again while the fleet
// says to come back.
func (b *Batches) call(ctx context.Context, method, path, contentType string, body io.Reader, out any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = io.ReadAll(body); err != nil {
			return err
		}
	}
	var last error
	for range submitTries {
		status, err := b.once(ctx, method, path, contentType, data, out)
		if err == nil || (status != 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests) {
			return err
		}
		last = err
		if !sleepUntil(ctx, time.Now().Add(submitPause)) {
			return ctx.Err()
		}
	}
	return last
}

func (b *Batches) once(ctx context.Context, method, path, contentType string, data []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, b.host()+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+b.profile.Key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, errors.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return resp.StatusCode, json.Unmarshal(answer, out)
}

type batchCounts struct {
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// progress returns the items ended so far over all jobs, and the jobs that
// are open.
func (b *Batches) progress(ctx context.Context) (completed, failed, open int, err error) {
	for _, id := range b.ids {
		var c batchCounts
		if err := b.call(ctx, http.MethodGet, "/v1/batches/"+id, "", nil, &c); err != nil {
			return 0, 0, 0, err
		}
		completed += c.RequestCounts.Completed
		failed += c.RequestCounts.Failed
		if c.RequestCounts.Completed+c.RequestCounts.Failed < c.RequestCounts.Total {
			open++
		}
	}
	return completed, failed, open, nil
}

// Measure returns the progress made while during runs.
func (b *Batches) Measure(ctx context.Context, during func()) (BatchResult, error) {
	before, failedBefore, _, err := b.progress(ctx)
	if err != nil {
		return BatchResult{}, err
	}
	start := time.Now()
	during()
	seconds := time.Since(start).Seconds()
	after, failedAfter, _, err := b.progress(ctx)
	if err != nil {
		return BatchResult{}, err
	}
	r := BatchResult{Seconds: seconds, Items: after - before, Failed: failedAfter - failedBefore}
	r.Tokens = r.Items * b.profile.MaxTokens
	r.TokensPerSecond = float64(r.Tokens) / seconds
	return r, nil
}

// Cancel stops all jobs.
func (b *Batches) Cancel(ctx context.Context) error {
	for _, id := range b.ids {
		var out idBody
		if err := b.call(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "application/json", nil, &out); err != nil {
			return err
		}
	}
	return nil
}
