package demo

import (
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
)

// refusedError is an answer of status 400 or more.
type refusedError struct {
	*httpjson.StatusError
	// wait is how long to wait before another try; 0 means not to try.
	wait time.Duration
}
