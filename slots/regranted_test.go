package slots

import (
	"fmt"
	"testing"
)

// TestStreamGrantedTwiceInOneReplication assigns a stream to an endpoint of one version and, as that
// refuses at once, to one of another before the next replication: the standbys know the last one.
func TestStreamGrantedTwiceInOneReplication(t *testing.T) {
	const rounds = 200
	wrong := 0
	for i := range rounds {
		r, standby := newReplication(newKnownOrigins()), newKnownOrigins()
		first, last := fmt.Sprint("v", i%2), fmt.Sprint("v", 1-i%2)
		r.record("r", first)
		r.record("r", last)
		for _, batch := range r.unsent.Batches(maxStreamsPerMessage) {
			standby.Merge(batch)
		}
		if !standby.knows("r", last) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("in %d of %d rounds the standby notes the version that refused", wrong, rounds)
	}
}
