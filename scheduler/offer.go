package scheduler

import "time"

// Offer describes a batch item that a host has accepted, for a scheduler that may not
// have read it from the ledger.
//
// If the store rejects calls of the scheduler's host but serves others, the jobs
// accepted by those would otherwise wait, with slots free, until the scheduler's host
// can read the store again.
type Offer struct {
	Item           ItemRef       `json:"item"`
	Service        string        `json:"service"`
	DueIn          time.Duration `json:"due_in"`
	PromptTokens   int           `json:"prompt_tokens"`
	ExpectedTokens int           `json:"expected_tokens"`
	Prefix         []string      `json:"prefix,omitempty"`
	PrefixTokens   []int         `json:"prefix_tokens,omitempty"`
	Workspace      string        `json:"workspace,omitempty"`
}

// NewOffer returns the offer of an item. Its DueIn is relative to now, so the offer
// has to be sent without delay.
func NewOffer(now time.Time, i *Item) Offer {
	return Offer{
		Item: i.Ref, Service: i.Service, DueIn: i.Due.Sub(now),
		PromptTokens: i.PromptTokens, ExpectedTokens: i.ExpectedTokens, Prefix: i.Prefix,
		PrefixTokens: i.PrefixTokens, Workspace: i.Workspace,
	}
}

// item returns the offered item. Its InputHost is the offering host, which has its input.
func (o *Offer) item(now time.Time, host string) Item {
	return Item{
		Ref: o.Item, Service: o.Service, Due: now.Add(o.DueIn), InputHost: host,
		PromptTokens: o.PromptTokens, ExpectedTokens: o.ExpectedTokens, Prefix: o.Prefix,
		PrefixTokens: o.PrefixTokens, Workspace: o.Workspace,
	}
}

// Offer adds items that a host has accepted. Items that are already known are ignored.
func (c *Core) Offer(now time.Time, host string, offers []Offer) {
	for i := range offers {
		c.AddItem(now, offers[i].item(now, host))
	}
}
