package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/sse"
)

const (
	streamedTokens = 40
	doneMark       = "[DONE]"
	requestHeader  = "Peridotmount-Request-Id"
)

// stream asks for a streamed answer, checks that it is whole, and returns the
// id of the request.
func (r *Runner) stream(ctx context.Context) (string, error) {
	const message = "a caption for a linen towel with walnut leaves"
	request := r.work.chat(message, streamedTokens)
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return "", errors.Wrap(err, "encode request")
	}
	resp, err := r.send(ctx, &call{
		method: http.MethodPost,
		url:    r.hosts[0].CallersAddress + "/v1/chat/completions",
		key:    r.work.onlineKey,
		kind:   jsonType,
		body:   body,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := readStream(resp.Body)
	if err != nil {
		return "", err
	}
	if want := r.work.answer(message, streamedTokens); got != want {
		return "", errors.Wrapf(ErrWrong, "got %q, want %q", got, want)
	}
	r.say("      %d tokens: %.60s...", streamedTokens, got)
	return resp.Header.Get(requestHeader), nil
}

// readStream joins the parts of a streamed answer, which has to end as the
// protocol says.
func readStream(body io.Reader) (string, error) {
	reader := sse.NewReader(body)
	var text strings.Builder
	finish := ""
	for {
		data, err := reader.Next()
		if err == io.EOF {
			return "", errors.Wrap(ErrWrong, "the stream broke off")
		}
		if err != nil {
			return "", err
		}
		if string(data) == doneMark {
			break
		}
		var part completion.Response
		if err := json.Unmarshal(data, &part); err != nil {
			return "", errors.Wrap(err, "decode part")
		}
		for _, c := range part.Choices {
			if c.Delta != nil {
				text.WriteString(c.Delta.Content)
			}
			if c.FinishReason != nil {
				finish = *c.FinishReason
			}
		}
	}
	if finish == "" {
		return "", errors.Wrap(ErrWrong, "the answer has no finish reason")
	}
	return text.String(), nil
}
