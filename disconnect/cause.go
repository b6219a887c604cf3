package disconnect

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Cause is why a connection ended. Its value appears in the log and the metrics.
type Cause string

// Causes of the end of a connection.
const (
	// None means that the connection has not ended.
	None Cause = ""
	// ClientClosed means that the client closed the connection, ClientReset that it, or
	// something on the way, reset it.
	ClientClosed Cause = "client_closed"
	ClientReset  Cause = "client_reset"
	// TimedOut means that the kernel gave the connection up, as the client did not
	// acknowledge data or probes in time.
	TimedOut Cause = "connection_timed_out"
	// WriteTimedOut means that the client did not take a response before its write
	// deadline.
	WriteTimedOut Cause = "write_timed_out"
	// Closed means that this host closed the connection.
	Closed Cause = "closed_here"
	// Failed stands for all other errors of the connection.
	Failed Cause = "connection_failed"
)

// causeOfRead returns the cause that an error of a read shows. A read deadline that has
// passed ends no connection: net/http interrupts its reads by one.
func causeOfRead(err error) Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return None
	}
	return causeOf(err)
}

// causeOfWrite returns the cause that an error of a write shows.
func causeOfWrite(err error) Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return WriteTimedOut
	}
	return causeOf(err)
}

func causeOf(err error) Cause {
	switch {
	case err == nil:
		return None
	case errors.Is(err, io.EOF):
		return ClientClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ClientReset
	case errors.Is(err, syscall.ETIMEDOUT):
		return TimedOut
	case errors.Is(err, net.ErrClosed):
		return Closed
	default:
		return Failed
	}
}
