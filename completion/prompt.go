package completion

import "encoding/json"

// Prompt is the prompt of a text completion: one string.
type Prompt string

// UnmarshalJSON implements json.Unmarshaler. Lists of prompts and token ids are
// refused: each answer has one choice.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &FieldError{Field: "prompt", Reason: "is not one string; lists of prompts are not supported"}
	}
	*p = Prompt(text)
	return nil
}
