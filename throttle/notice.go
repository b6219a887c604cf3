package throttle

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// SortNotices sorts notices by endpoint and run.
func SortNotices(notices []Notice) {
	slices.SortFunc(notices, func(a, b Notice) int {
		return cmp.Or(strings.Compare(a.Endpoint.ID, b.Endpoint.ID), a.Endpoint.Started.Compare(b.Endpoint.Started))
	})
}

// Notice is what an answer of an endpoint said of the endpoint's rate limit, as hosts tell
// each other.
type Notice struct {
	Endpoint endpoint.Incarnation `json:"endpoint"`
	// Rate is the limit, in requests per second from all hosts together. It is zero if the
	// answer named none.
	Rate float64 `json:"rate,omitempty"`
	// Age is the time since the answer that named the limit arrived, or since the request
	// was sent whose answer named none.
	Age time.Duration `json:"age"`
}
