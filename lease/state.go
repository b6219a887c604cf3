package lease

// NoEpoch is the fencing number before the first claim.
const NoEpoch int64 = -1

// Claim requests the lease. It names the last valid record that its author read:
// if the holder renewed the lease after that record, the claim is ignored.
type Claim struct {
	Holder string `json:"holder"`
	// Incarnation distinguishes runs of the same host.
	Incarnation int64 `json:"incarnation"`
	// Previous is the epoch of that last record, or NoEpoch.
	Previous int64 `json:"previous"`
	// PreviousSeq is the sequence number of that record, or 0 if it is a claim.
	PreviousSeq int64 `json:"previous_seq"`
}

// State is the lease state that results from replaying a stream. Invariants: the
// epoch never decreases, the sequence number increases within an epoch, and every
// reader at the same offset holds the same State.
type State struct {
	// Epoch is the offset of the last valid claim, or NoEpoch.
	Epoch int64 `json:"epoch"`
	// Seq is the sequence number of the last valid record of the epoch, or 0 if
	// there is none after the claim.
	Seq         int64  `json:"seq"`
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	// Released reports that the holder released the lease.
	Released bool `json:"released"`
}

// NewState returns the state of an empty stream.
func NewState() State {
	return State{Epoch: NoEpoch}
}

// Claim applies a claim at offset and reports whether it is valid: the first
// claim that names the last valid record wins.
func (s *State) Claim(offset int64, c Claim) bool {
	if c.Previous != s.Epoch || c.PreviousSeq != s.Seq {
		return false
	}
	s.Epoch = offset
	s.Seq = 0
	s.Holder = c.Holder
	s.Incarnation = c.Incarnation
	s.Released = false
	return true
}

// InForce reports whether epoch is that of the last valid claim and the lease was
// not released. Whether the lease has expired is not part of the State.
func (s *State) InForce(epoch int64) bool {
	return epoch != NoEpoch && epoch == s.Epoch && !s.Released
}

// Accept applies record seq of the current epoch and reports whether it is valid: a
// repeated or older sequence number is not. The caller has checked with InForce
// that the record was written under that epoch.
func (s *State) Accept(seq int64) bool {
	if seq <= s.Seq {
		return false
	}
	s.Seq = seq
	return true
}

// Release applies a release under epoch and reports whether it is valid.
func (s *State) Release(epoch int64) bool {
	if !s.InForce(epoch) {
		return false
	}
	s.Released = true
	return true
}

// HeldBy reports whether the lease in force belongs to that incarnation of the
// host.
func (s *State) HeldBy(holder string, incarnation int64) bool {
	return s.InForce(s.Epoch) && s.Holder == holder && s.Incarnation == incarnation
}
