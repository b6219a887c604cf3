package completion

import (
	"bytes"
	"encoding/json"
)

// unsupported holds the fields of the OpenAI interface that would change the
// answer and are refused, unless they ask for what is done anyway.
type unsupported struct {
	N              json.RawMessage `json:"n"`
	BestOf         json.RawMessage `json:"best_of"`
	Stop           json.RawMessage `json:"stop"`
	Echo           json.RawMessage `json:"echo"`
	Suffix         json.RawMessage `json:"suffix"`
	Logprobs       json.RawMessage `json:"logprobs"`
	TopLogprobs    json.RawMessage `json:"top_logprobs"`
	LogitBias      json.RawMessage `json:"logit_bias"`
	Tools          json.RawMessage `json:"tools"`
	Functions      json.RawMessage `json:"functions"`
	ResponseFormat json.RawMessage `json:"response_format"`
	Modalities     json.RawMessage `json:"modalities"`
	Audio          json.RawMessage `json:"audio"`
}

func (u *unsupported) check() error {
	fields := []struct {
		name    string
		value   json.RawMessage
		allowed []string
	}{
		{"n", u.N, []string{"1"}},
		{"best_of", u.BestOf, []string{"1"}},
		{"stop", u.Stop, []string{"[]"}},
		{"echo", u.Echo, []string{"false"}},
		{"suffix", u.Suffix, []string{`""`}},
		{"logprobs", u.Logprobs, []string{"false", "0"}},
		{"top_logprobs", u.TopLogprobs, []string{"0"}},
		{"logit_bias", u.LogitBias, []string{"{}"}},
		{"tools", u.Tools, []string{"[]"}},
		{"functions", u.Functions, []string{"[]"}},
		{"response_format", u.ResponseFormat, []string{`{"type":"text"}`}},
		{"modalities", u.Modalities, []string{`["text"]`}},
		{"audio", u.Audio, nil},
	}
	for _, f := range fields {
		if !asksNothing(f.value, f.allowed) {
			return &FieldError{Field: f.name, Reason: "is not supported", Unsupported: true}
		}
	}
	return nil
}

func asksNothing(value json.RawMessage, allowed []string) bool {
	var compact bytes.Buffer
	if len(value) == 0 || json.Compact(&compact, value) != nil {
		return true
	}
	text := compact.String()
	if text == "null" {
		return true
	}
	for _, a := range allowed {
		if text == a {
			return true
		}
	}
	return false
}
