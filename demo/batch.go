package demo

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
)

const (
	batchItems  = 60
	batchTokens = 8
	batchPoll   = 500 * time.Millisecond
)

// batch sends a batch to one host, awaits its end on another, and checks every
// line of its output there.
func (r *Runner) batch(ctx context.Context) error {
	taker, reader := r.hosts[0].CallersAddress, r.hosts[2].CallersAddress
	file, err := r.upload(ctx, taker)
	if err != nil {
		return err
	}
	request := batchRequest{
		InputFileID: file.ID, Endpoint: "/v1/chat/completions", Window: "24h",
		Metadata: map[string]string{"job_name": "demo"},
	}
	var state batchState
	if err := r.sendJSON(ctx, http.MethodPost, taker+"/v1/batches", r.work.batchKey, request, &state); err != nil {
		return err
	}
	r.say("      accepted as %s", state.ID)
	if err := r.awaitBatch(ctx, reader, &state); err != nil {
		return err
	}
	resp, err := r.send(ctx, &call{
		method: http.MethodGet, url: reader + "/v1/files/" + state.OutputFileID + "/content", key: r.work.batchKey,
	})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read output")
	}
	return r.checkOutput(data)
}

func itemMessage(i int) string {
	return fmt.Sprintf("price blank %d of the kiln load", i)
}

func (r *Runner) upload(ctx context.Context, host string) (*fileState, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return nil, errors.Wrap(err, "write form")
	}
	part, err := form.CreateFormFile("file", "lot.jsonl")
	if err != nil {
		return nil, errors.Wrap(err, "write form")
	}
	encoder := json.NewEncoder(part)
	for i := range batchItems {
		line := batchLine{
			CustomID: fmt.Sprintf("item-%d", i), Method: http.MethodPost, URL: "/v1/chat/completions",
			Body: r.work.chat(itemMessage(i), batchTokens),
		}
		if err := encoder.Encode(line); err != nil {
			return nil, errors.Wrap(err, "write form")
		}
	}
	if err := form.Close(); err != nil {
		return nil, errors.Wrap(err, "write form")
	}
	resp, err := r.send(ctx, &call{
		method: http.MethodPost, url: host + "/v1/files", key: r.work.batchKey,
		kind: form.FormDataContentType(), body: body.Bytes(),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	file := new(fileState)
	return file, errors.Wrap(json.NewDecoder(resp.Body).Decode(file), "decode answer")
}

func (r *Runner) awaitBatch(ctx context.Context, host string, state *batchState) error {
	url := host + "/v1/batches/" + state.ID
	for {
		if err := r.sendJSON(ctx, http.MethodGet, url, r.work.batchKey, nil, state); err != nil {
			return err
		}
		r.say("      %s: %d of %d items", state.Status, state.Counts.Completed, batchItems)
		switch state.Status {
		case "completed":
			return nil
		case "failed", "expired", "cancelled":
			return errors.Wrapf(ErrWrong, "the batch ended %s", state.Status)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(batchPoll):
		}
	}
}

// checkOutput checks that every item is answered once, and rightly.
func (r *Runner) checkOutput(data []byte) error {
	answers := make(map[string]string)
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var out batchOutput
		if err := json.Unmarshal(line, &out); err != nil {
			return errors.Wrapf(ErrWrong, "line %q", line)
		}
		if _, found := answers[out.CustomID]; found {
			return errors.Wrapf(ErrWrong, "%s is answered twice", out.CustomID)
		}
		if c := out.Response.Body.Choices; len(c) == 1 && c[0].Message != nil {
			answers[out.CustomID] = c[0].Message.Content
		}
	}
	for i := range batchItems {
		id := fmt.Sprintf("item-%d", i)
		if want := r.work.answer(itemMessage(i), batchTokens); answers[id] != want {
			return errors.Wrapf(ErrWrong, "%s: got %q, want %q", id, answers[id], want)
		}
	}
	if len(answers) != batchItems {
		return errors.Wrapf(ErrWrong, "%d answers, want %d", len(answers), batchItems)
	}
	return nil
}
