package slots

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

// Lease is a slot that this host may use.
type Lease struct {
	// Ticket identifies this use of the slot.
	Ticket string
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Version is the software version of the endpoint, as the scheduler knows it.
	Version string
	// Scheduler is the name of the host that granted the slot.
	Scheduler string
	// Overhead is the time from the request for the slot to its grant, less the time
	// that the request was queued at the scheduler: the network latency both ways.
	Overhead time.Duration
	// Choice is what the scheduler expected of the endpoint; nil if it weighs no waits.
	Choice *scheduler.Choice

	client *Client
}

// Release ends the use of the slot.
func (l *Lease) Release(u scheduler.Usage) {
	u.Ticket = l.Ticket
	l.client.release(u)
}

// ReportStalled reports to the scheduler that the endpoint sends nothing.
func (l *Lease) ReportStalled() {
	l.client.reportStalled(l.Ticket)
}

// pendingRequest is a request for a slot that the scheduler has not answered.
type pendingRequest struct {
	request scheduler.SlotRequest
	since   time.Time
	answer  chan SchedulerMessage
}

// asOf returns the request with its elapsed and remaining times brought up to now,
// for a scheduler that it is sent to again.
func (w *pendingRequest) asOf(now time.Time) *scheduler.SlotRequest {
	a := w.request
	waited := now.Sub(w.since)
	a.Elapsed += waited
	a.Left -= waited
	return &a
}

// heldSlot is a slot that this host uses.
type heldSlot struct {
	running scheduler.Running
	since   time.Time
	// cancel ends the run of a batch item; nil for online work.
	cancel context.CancelFunc
}
