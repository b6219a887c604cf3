package load

// Report holds the four measures of one fleet.
type Report struct {
	Label   string  `json:"label"`
	Seed    uint64  `json:"seed"`
	Hosts   int     `json:"hosts"`
	Engines int     `json:"engines"`
	Rate    float64 `json:"online_rate_per_s"`
	// PhaseSeconds is the length of each phase.
	PhaseSeconds float64 `json:"phase_s"`

	Throughput *Throughput `json:"throughput,omitempty"`
	Harm       *Harm       `json:"harm,omitempty"`
	Blocking   *Blocking   `json:"blocking,omitempty"`
	Slowed     *Slowed     `json:"slowed,omitempty"`
}

// Throughput is the first measure: batch work alone on the fleet.
type Throughput struct {
	Batch BatchResult `json:"batch"`
}

// Harm is the second measure: what batch work does to the latency of online
// requests, and how much of the idle capacity it uses.
type Harm struct {
	Without Result      `json:"without"`
	With    Result      `json:"with"`
	Batch   BatchResult `json:"batch"`
	// P99Ratio is the 99th percentile of the total latency with batch work
	// over that without.
	P99Ratio float64 `json:"p99_ratio"`
	// FirstTokenP99Ratio is the same for the first token.
	FirstTokenP99Ratio float64 `json:"first_token_p99_ratio"`
	// FreeShare is batch work's tokens over those that online requests leave
	// free of the tokens that batch work makes alone.
	FreeShare float64 `json:"free_share"`
}

// Blocking is the third measure: short requests behind long ones.
type Blocking struct {
	Without  Result  `json:"without"`
	With     Result  `json:"with"`
	Long     Result  `json:"long"`
	P99Ratio float64 `json:"p99_ratio"`
}

// Slowed is the fourth measure: latency while some endpoints are slowed.
type Slowed struct {
	Endpoints int     `json:"endpoints"`
	Slowdown  float64 `json:"slowdown"`
	Without   Result  `json:"without"`
	With      Result  `json:"with"`
	P99Ratio  float64 `json:"p99_ratio"`
}
