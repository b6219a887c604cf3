package scheduler

import "time"

// Offer is a batch item that a host has accepted, told to a scheduler that may not have
// read of it.
//
// The load it answers: a store that turns the scheduler's host away and serves others,
// whose jobs would wait beside free slots until it is read again.
type Offer struct {
	Item           ItemRef       `json:"item"`
	Service        string        `json:"service"`
	DueIn          time.Duration `json:"due_in"`
	PromptTokens   int           `json:"prompt_tokens"`
	ExpectedTokens int           `json:"expected_tokens"`
	Prefix         []string      `json:"prefix,omitempty"`
}

// NewOffer returns the offer of an item, which ages from now on.
func NewOffer(now time.Time, i *Item) Offer {
	return Offer{
		Item: i.Ref, Service: i.Service, DueIn: i.Due.Sub(now),
		PromptTokens: i.PromptTokens, ExpectedTokens: i.ExpectedTokens, Prefix: i.Prefix,
	}
}

// item returns the item, whose input the host has.
func (o *Offer) item(now time.Time, host string) Item {
	return Item{
		Ref: o.Item, Service: o.Service, Due: now.Add(o.DueIn), Home: host,
		PromptTokens: o.PromptTokens, ExpectedTokens: o.ExpectedTokens, Prefix: o.Prefix,
	}
}

// Offer adds items that a host has accepted; those known already stay as they are.
func (c *Core) Offer(now time.Time, host string, offers []Offer) {
	for i := range offers {
		c.AddItem(now, offers[i].item(now, host))
	}
}
