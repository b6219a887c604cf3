package scheduler

import "time"

// Running is a use of a slot, as its host announces it to a new scheduler.
type Running struct {
	Ticket   string `json:"ticket"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Class    Class  `json:"class"`
	// Since is how long the slot has been used.
	Since time.Duration `json:"since"`
	// Tokens is the size of the generation.
	Tokens int `json:"tokens"`
	// Item is the batch item that runs.
	Item *ItemRef `json:"item,omitempty"`
}
