package jobs

// ItemMeta is the part of an item that every host keeps in memory; the rest is in
// the job's inputs.
type ItemMeta struct {
	ID string `json:"id"`
	// Tokens is Item.Tokens; it counts against the quota of the workspace on the route.
	Tokens int64 `json:"tokens"`
	// PromptTokens and ExpectedTokens are the sizes of the prompt and of the
	// expected output.
	PromptTokens   int `json:"prompt,omitempty"`
	ExpectedTokens int `json:"expected,omitempty"`
	// Prefix lists the IDs of the parts of the prompt, in order.
	Prefix []string `json:"prefix,omitempty"`
	// PrefixTokens are the tokens of these parts; records of older builds have none.
	PrefixTokens []int `json:"prefix_tokens,omitempty"`
}
