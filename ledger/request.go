package ledger

// RequestStart records the start of a keyed request before it is run.
type RequestStart struct {
	// ID identifies the request to the customer.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest is the hash of the content of the request.
	Digest string `json:"digest"`
	// Idempotent is set if the request may be run again.
	Idempotent bool `json:"idempotent"`
	// Nonce distinguishes several starts of the same request.
	Nonce string `json:"nonce"`
	// Host is the host that runs the request.
	Host string `json:"host,omitempty"`
	// TTLSeconds is the retention period after the start; 0 means no expiry.
	TTLSeconds int64 `json:"ttl_s,omitempty"`
}

// RequestDone records the end of a keyed request. The first one applied is the
// result of the request; later ones are ignored.
type RequestDone struct {
	ID string `json:"id"`
	// Status is the HTTP status of the response.
	Status int `json:"status"`
	// Body is the body of the response.
	Body []byte `json:"body"`
}

// Request is the replayed state of a keyed request.
type Request struct {
	RequestStart
	// StartEpoch is the epoch under which the start was recorded.
	StartEpoch int64 `json:"start_epoch"`
	// StartMillis is the partition's time when the start was applied, in
	// milliseconds since the Unix epoch.
	StartMillis int64 `json:"start_ms"`
	Done        bool  `json:"done"`
	// Place is the place of the result; it is set once Done is.
	Place Place `json:"place"`
}
