package ledger

// RequestStart is the durable start of a keyed request.
type RequestStart struct {
	// ID names the request to its customer.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest is the hash of what the request asks for.
	Digest string `json:"digest"`
	// Idempotent reports whether the request may be run again.
	Idempotent bool `json:"idempotent"`
	// Nonce tells starts of the same request apart.
	Nonce string `json:"nonce"`
	// Host is the host that runs the request.
	Host string `json:"host,omitempty"`
	// TTLSeconds is how long the request is kept from its start; 0 means for
	// good.
	TTLSeconds int64 `json:"ttl_s,omitempty"`
}

// RequestDone is the end of a keyed request. The first for a request is its
// result.
type RequestDone struct {
	ID string `json:"id"`
	// Status is the HTTP status of the answer.
	Status int `json:"status"`
	// Body is the answer.
	Body []byte `json:"body"`
}

// Request is a keyed request as replayed.
type Request struct {
	RequestStart
	// StartEpoch is the epoch of the start record.
	StartEpoch int64 `json:"start_epoch"`
	// StartMillis is the time of the start record, in milliseconds since the
	// Unix epoch.
	StartMillis int64 `json:"start_ms"`
	Done        bool  `json:"done"`
	// Place is that of the result.
	Place Place `json:"place"`
}
