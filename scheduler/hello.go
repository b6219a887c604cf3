package scheduler

import "github.com/peridotmount/peridotmount/quota"

// Hello describes the state of a host to a new scheduler.
type Hello struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Running lists the slots that the host uses.
	Running []Running `json:"running"`
	// Resumable lists the unfinished items that the host can resume.
	Resumable []Resumable `json:"kept,omitempty"`
	// Sent lists what the host sent lately, under earlier schedulers.
	Sent []Sent `json:"sent,omitempty"`
	// Admitted is what schedulers admitted for the host within the quotas of workspaces, in the
	// last window.
	Admitted []quota.Report `json:"admitted,omitempty"`
	// Offers lists the open items of the jobs that the host accepted.
	Offers []Offer `json:"offers,omitempty"`
	// Failing lists endpoints whose last uses by the host failed.
	Failing []FailingEndpoint `json:"failing,omitempty"`
}

// Resumable is the partial output that a host has of an item that it ran.
type Resumable struct {
	Item ItemRef `json:"item"`
	// TokensDone is the number of output tokens that exist.
	TokensDone int `json:"made"`
	// Version is the software version that generated them.
	Version string `json:"version,omitempty"`
}
