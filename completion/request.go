package completion

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
)

// Message is one turn of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Request is the body of a completion call.
type Request struct {
	Kind Kind `json:"-"`
	// Model names a service, or service:adapter.
	Model string `json:"model"`
	// Messages is set for Chat.
	Messages []Message `json:"messages"`
	// Prompt is set for Text.
	Prompt              Prompt         `json:"prompt"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
	engine.Sampling
	unsupported
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Parse reads and checks the body of a call. The error is a *FieldError.
func Parse(kind Kind, body []byte) (*Request, error) {
	if kind != Chat && kind != Text {
		return nil, &FieldError{Field: "url", Reason: "is neither " + string(Chat) + " nor " + string(Text)}
	}
	r := &Request{Kind: kind}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, bodyError(err)
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}

// bodyError names the field that holds a value of the wrong type, if one does.
func bodyError(err error) *FieldError {
	var field *FieldError
	if errors.As(err, &field) {
		return field
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return &FieldError{Field: wrong.Field, Reason: "holds a " + wrong.Value}
	}
	return &FieldError{Field: "body", Reason: "is not valid JSON: " + err.Error()}
}

func (r *Request) check() error {
	switch {
	case r.Model == "":
		return &FieldError{Field: "model", Reason: "is missing"}
	case r.Kind == Chat && len(r.Messages) == 0:
		return &FieldError{Field: "messages", Reason: "is missing"}
	case r.Kind == Text && r.Prompt == "":
		return &FieldError{Field: "prompt", Reason: "is missing"}
	case r.MaxTokens < 0:
		return &FieldError{Field: "max_tokens", Reason: "is negative"}
	case r.MaxCompletionTokens < 0:
		return &FieldError{Field: "max_completion_tokens", Reason: "is negative"}
	}
	if err := r.checkMessages(); err != nil {
		return err
	}
	if err := checkSampling(&r.Sampling); err != nil {
		return err
	}
	return r.unsupported.check()
}

func (r *Request) checkMessages() error {
	for i := range r.Messages {
		switch r.Messages[i].Role {
		case "system", "developer", "user", roleAssistant:
		default:
			return &FieldError{
				Field:  fmt.Sprintf("messages[%d].role", i),
				Reason: "is none of system, developer, user and assistant",
			}
		}
	}
	return nil
}

// Service returns the service that is asked for.
func (r *Request) Service() string {
	service, _, _ := strings.Cut(r.Model, ":")
	return service
}

// Adapter returns the adapter that is asked for, or "".
func (r *Request) Adapter() string {
	_, adapter, _ := strings.Cut(r.Model, ":")
	return adapter
}

// Limit returns the bound on the tokens of the answer, at most max.
func (r *Request) Limit(max int) int {
	n := r.MaxCompletionTokens
	if n == 0 {
		n = r.MaxTokens
	}
	if n == 0 || n > max {
		return max
	}
	return n
}

// FullPrompt returns the text that the model goes on from.
func (r *Request) FullPrompt() string {
	if r.Kind == Text {
		return string(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// SharedParts returns hashes of the messages that other requests may share: all but the
// last. A text completion has none.
func (r *Request) SharedParts() []string {
	var out []string
	for i := 0; i+1 < len(r.Messages); i++ {
		m := &r.Messages[i]
		out = append(out, strconv.FormatUint(xxhash.Sum64String(m.Role+"\x00"+string(m.Content)), 36))
	}
	return out
}
