package admission

// Load is the load of an endpoint as gossiped by its home.
type Load struct {
	Endpoint string `json:"e"`
	Slots    int    `json:"s"`
	// Limit is the number of slots that online and batch tickets may use: the
	// concurrency limit, capped at the slots not reserved for urgent requests.
	Limit int `json:"l"`
	// Running is the number of tickets in use, of all classes. Batch is the
	// number of those that are revocable, including those being revoked.
	Running int `json:"r"`
	Batch   int `json:"b,omitempty"`
	// Waiting is the number of queued urgent, online and exclusive requests,
	// WaitingBatch that of the other batch requests.
	Waiting      int `json:"w,omitempty"`
	WaitingBatch int `json:"wb,omitempty"`
	// FirstTokenMicros and TokenMicros are moving averages of the latencies that
	// entries reported to the home; 0 means unknown.
	FirstTokenMicros int64 `json:"f,omitempty"`
	TokenMicros      int64 `json:"t,omitempty"`
	// Adapters lists the adapters loaded at the endpoint; nil means unknown.
	Adapters []string `json:"a"`
}
