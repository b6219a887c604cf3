package jobs

// ItemMeta is what every host knows of an item; the rest is in the job's inputs.
type ItemMeta struct {
	ID string `json:"id"`
	// Tokens counts against the quota of the route.
	Tokens int64 `json:"tokens"`
	// PromptTokens and ExpectedTokens are the size of the generation.
	PromptTokens   int `json:"prompt,omitempty"`
	ExpectedTokens int `json:"expected,omitempty"`
	// Prefix names the parts of the prompt in order.
	Prefix []string `json:"prefix,omitempty"`
}
