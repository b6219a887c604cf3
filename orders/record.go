package orders

import "github.com/peridotmount/peridotmount/lease"

// Stream is the log stream that holds the lease for sending orders.
const Stream = "orders"

// Record is one record of the stream; exactly one field is set.
type Record struct {
	Claim   *lease.Claim `json:"claim,omitempty"`
	Renew   *Renewal     `json:"renew,omitempty"`
	Release *Release     `json:"release,omitempty"`
}

// Renewal renews the lease. It repeats the whole lease for readers that can no
// longer read the claim because it was trimmed.
type Renewal struct {
	Epoch       int64  `json:"epoch"`
	Seq         int64  `json:"seq"`
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
}

// Release releases the lease.
type Release struct {
	Epoch int64 `json:"epoch"`
}
