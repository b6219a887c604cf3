package scheduler

import "time"

// Ask is an online request that needs a slot.
type Ask struct {
	// Ticket names the use of a slot; it is unique over all hosts.
	Ticket string `json:"ticket"`
	// Request is the client's id, for the log.
	Request string `json:"request"`
	Service string `json:"service"`
	// Priority is the rank among online requests; 0 is the highest.
	Priority int `json:"priority"`
	// Objective is the time within which the answer should begin, Elapsed the
	// time since the request came to its host, Left that until its deadline.
	Objective time.Duration `json:"objective"`
	Elapsed   time.Duration `json:"elapsed"`
	Left      time.Duration `json:"left"`
	// PromptTokens and ExpectedTokens are the size of the generation.
	PromptTokens   int `json:"prompt_tokens"`
	ExpectedTokens int `json:"expected_tokens"`
	// Prefix lists the parts of the prompt.
	Prefix []string `json:"prefix,omitempty"`
	// Fingerprint is the same for all attempts of a client to get one request
	// answered, or "".
	Fingerprint string `json:"fingerprint,omitempty"`
	// Avoid lists endpoints that the request was tried at.
	Avoid []string `json:"avoid,omitempty"`
}
