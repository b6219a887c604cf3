package upstream

import "github.com/pkg/errors"

// Errors of a call, to be compared with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent, so it did not run.
	ErrNotSent = errors.New("endpoint not reached")
	// ErrCutOff means that this host reaches no endpoint, and that no other host makes the call
	// for it. Nothing was sent; such an error is also ErrNotSent.
	ErrCutOff = errors.Wrap(ErrNotSent, "this host reaches no endpoint, and no other host helps")
	// ErrOtherProcess means that another process than that of a Check has the endpoint's address.
	// Nothing was sent; such an error is also ErrNotSent.
	ErrOtherProcess = errors.Wrap(ErrNotSent, "another process has the endpoint's address")
	// ErrNoResponse means that the request was sent at least in part, and no response
	// to it arrived. The request may have run.
	ErrNoResponse = errors.New("no answer from the endpoint")
	// ErrPathLost means that the host that made the call for this one was lost, or sent what
	// can't be read, before the response was complete. The request may have run.
	ErrPathLost = errors.New("the host that made the call was lost")
	// ErrTruncated means that a response ended before it was complete.
	ErrTruncated = errors.New("response of the endpoint ended early")
	// ErrTooLong means that an endpoint sent more bytes than the limit for the head of
	// a response, or for the body of a response to another request.
	ErrTooLong = errors.New("response of the endpoint exceeds the size limit")
)
