package scheduler

import "time"

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
	// Item is the batch item that runs, or nil for an online request.
	Item *ItemRef `json:"item,omitempty"`
}
