package forward

import "time"

// keyAge is what decides whether the configuration is recent enough to admit a request by its
// key. All times are those of package clock.
//
// The load it addresses: keys are taken away while hosts are cut off from the store, and their
// clients go on sending. A key that was taken away is refused once the bound has passed, also
// by hosts that have not heard of it, and no request is refused before.
type keyAge struct {
	// read is when the head of the request was read.
	read time.Time
	// confirmed is when the last read of the configuration was sent that confirmed that the one
	// in force is the newest; zero if none has.
	confirmed time.Time
	// bound is for how long a key may be accepted after it was taken away; zero if that is not
	// bounded.
	bound time.Duration
	// reachable is set if the store answered the last call.
	reachable bool
}

// ageVerdict is a decision of keyAge.
type ageVerdict int

const (
	// ageSound admits the request.
	ageSound ageVerdict = iota
	// ageConfirm needs a confirming read first.
	ageConfirm
	// ageRefuse refuses the request.
	ageRefuse
)

// verdict decides on a request. A client sends a request before its head is read, and a store that
// served a read has acknowledged no later configuration before the read was sent. So a request
// that is read within the bound after that was sent within the bound after any such
// configuration.
func (k keyAge) verdict() ageVerdict {
	switch {
	case k.bound <= 0:
		return ageSound
	case !k.confirmed.IsZero() && k.read.Sub(k.confirmed) < k.bound:
		return ageSound
	case k.reachable:
		return ageConfirm
	default:
		return ageRefuse
	}
}
