package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/promptcache"
	"github.com/peridotmount/peridotmount/quota"
)

// SlotRequest requests a slot for an online request.
type SlotRequest struct {
	// Ticket identifies the use of a slot; it is unique across all hosts.
	Ticket string `json:"ticket"`
	// Request is the client's request id, for the log.
	Request string `json:"request"`
	Service string `json:"service"`
	// Priority orders online requests; 0 is the highest.
	Priority int `json:"priority"`
	// Objective is the target for the time to the first event, Elapsed the time since
	// the request arrived at its host, Left the time until its deadline.
	Objective time.Duration `json:"objective"`
	Elapsed   time.Duration `json:"elapsed"`
	Left      time.Duration `json:"left"`
	// PromptTokens and ExpectedTokens are the numbers of input and expected output
	// tokens.
	PromptTokens   int `json:"prompt_tokens"`
	ExpectedTokens int `json:"expected_tokens"`
	// Prefix lists the parts of the prompt, for the choice of an endpoint that has
	// them cached.
	Prefix []string `json:"prefix,omitempty"`
	// PrefixTokens are the tokens of these parts.
	PrefixTokens []int `json:"prefix_tokens,omitempty"`
	// Workspace is the workspace that the request belongs to, or "". Claim asks for its
	// admission within the workspace's quota; nil if it needs none, or was admitted before.
	Workspace string       `json:"workspace,omitempty"`
	Claim     *quota.Claim `json:"claim,omitempty"`
	// Repeatable means that the request may run again at another endpoint if this one fails.
	Repeatable bool `json:"repeatable,omitempty"`
	// Fingerprint is the same for all attempts of a client at one request, or "" if
	// unknown.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Resumes is the request that brought the first event of the stream that this one goes on
	// with, or "". The stream goes on only at an endpoint of the version that began it.
	Resumes string `json:"resumes,omitempty"`
	// Version is the version of the software that the endpoint must have; nil if any will do.
	Version *string `json:"version,omitempty"`
	// Avoid lists the endpoints at which the request was already attempted.
	Avoid []string `json:"avoid,omitempty"`
}

// Chain returns the part of the prompt that other requests may share.
func (r *SlotRequest) Chain() promptcache.Chain {
	return promptcache.NewChain(r.Workspace, r.Prefix, r.PrefixTokens, r.PromptTokens)
}

// Keys returns what the request may share with others that crash endpoints.
func (r *SlotRequest) Keys() []blame.Key {
	return blame.KeysOf(r.Fingerprint, r.Prefix[:max(0, len(r.Prefix)-1)])
}
