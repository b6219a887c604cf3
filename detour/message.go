package detour

// callHead is the first line of the body of a call, as JSON. The body of the call to the
// endpoint follows it.
type callHead struct {
	// Endpoint and Request are the ids of the endpoint and of the request.
	Endpoint string `json:"endpoint"`
	Request  string `json:"request"`
	Method   string `json:"method"`
	// Target is the path and query, Host the Host header.
	Target []byte `json:"target"`
	Host   []byte `json:"host"`
	// Header is as HTTP/1 has it.
	Header []byte `json:"header"`
	// Process is that of the upstream.Check that the call has to pass, or "".
	Process string `json:"process,omitempty"`
	// Bytes is the length of the body that follows.
	Bytes int `json:"bytes"`
}

// responseHead is the first line of the body of a response, as JSON. The body of the
// endpoint's response follows it.
type responseHead struct {
	Status int `json:"status"`
	// Header is as HTTP/1 has it.
	Header []byte `json:"header"`
	// Length is that of the endpoint's body in bytes, -1 if the endpoint did not state it.
	Length int64 `json:"length"`
	// Open is set if the endpoint's body ended with its connection. Hosts of earlier versions
	// don't tell.
	Open bool `json:"open,omitempty"`
	// OtherProcess is set if another process than that of the endpoint's record answered. Hosts of earlier versions
	// don't tell.
	OtherProcess bool `json:"other_process,omitempty"`
}

// outcomeHeader holds the outcome of a call that brought no response of the endpoint.
const outcomeHeader = "Detour-Refusal"

// refusal is the body of an answer that is no response of the endpoint, as JSON.
type refusal struct {
	Reason string `json:"reason"`
}

// outcome is what became of a call that brought no response of the endpoint.
type outcome string

const (
	// busy, stranded, leaving and unlisted hosts did not try: they have no room, reach no
	// endpoint themselves, shut down, or have not read the endpoint's record that the host that asks has.
	busy     outcome = "busy"
	stranded outcome = "stranded"
	leaving  outcome = "leaving"
	unlisted outcome = "unlisted"
	// unsent means that the endpoint could not be reached, so that nothing was sent to it.
	unsent outcome = "unsent"
	// unanswered means that the call was sent at least in part, and no response arrived.
	unanswered outcome = "unanswered"
)

// answered counts calls that brought a response in metrics; lost those of which the helping
// host said nothing, cut those whose response broke off.
const (
	answered outcome = "answered"
	lost     outcome = "lost"
	cut      outcome = "cut"
)

// tried reports whether the host tried to reach the endpoint.
func (o outcome) tried() bool {
	return o != busy && o != stranded && o != leaving && o != unlisted
}

// probeResult is the body of the answer to a probe, as JSON.
type probeResult struct {
	// Refused is set if the endpoint's machine refused the connection.
	Refused bool   `json:"refused,omitempty"`
	Err     string `json:"err,omitempty"`
}
