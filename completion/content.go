package completion

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Content is the text of a message. In JSON it is a string or a list of parts
// of type text.
type Content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither text nor a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Errorf("content part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = Content(b.String())
	return nil
}
