package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// Running describes a slot in use, as its host reports it to a new scheduler.
type Running struct {
	Ticket   string `json:"ticket"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Class    Class  `json:"class"`
	// Since is how long the slot has been in use.
	Since time.Duration `json:"since"`
	// Tokens is the number of input and expected output tokens.
	Tokens int `json:"tokens"`
	// Prompt is the number of tokens of the prompt, and Parts are those that other prompts may
	// share. Older builds and batch items have none.
	Prompt int                `json:"prompt,omitempty"`
	Parts  []promptcache.Part `json:"parts,omitempty"`
	// Item is the batch item that runs, or nil for an online request.
	Item *ItemRef `json:"item,omitempty"`
}
