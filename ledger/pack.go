package ledger

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// packChunks encodes chunks as pairs of varints: the place and the first item.
func packChunks(chunks []chunkRef) []byte {
	var out []byte
	for _, c := range chunks {
		out = binary.AppendVarint(out, int64(c.at))
		out = binary.AppendVarint(out, int64(c.first))
	}
	return out
}

func unpackChunks(data []byte) ([]chunkRef, error) {
	var out []chunkRef
	for len(data) > 0 {
		at, n := binary.Varint(data)
		if n <= 0 {
			return nil, errors.Wrap(ErrSnapshot, "malformed chunk list")
		}
		first, m := binary.Varint(data[n:])
		if m <= 0 {
			return nil, errors.Wrap(ErrSnapshot, "malformed chunk list")
		}
		out = append(out, chunkRef{at: Place(at), first: int(first)})
		data = data[n+m:]
	}
	return out, nil
}

// flagStarted is the bit, in the byte that also holds the state, that marks an item
// with a recorded start.
const flagStarted = 0x80

// packItems encodes each item as a byte of state and flags, a byte with the number
// of attempts, and the place of its result as a varint difference to the item before.
func packItems(items []itemProgress) []byte {
	var out []byte
	last := Place(0)
	for i := range items {
		flags := byte(items[i].state)
		if items[i].started {
			flags |= flagStarted
		}
		out = append(out, flags, items[i].attempts)
		out = binary.AppendVarint(out, int64(items[i].at-last))
		last = items[i].at
	}
	return out
}

func unpackItems(data []byte) ([]itemProgress, error) {
	var out []itemProgress
	last := Place(0)
	for len(data) > 0 {
		// An item takes two bytes and a varint of at least one.
		if len(data) < 3 {
			return nil, errors.Wrap(ErrSnapshot, "truncated item list")
		}
		delta, n := binary.Varint(data[2:])
		if n <= 0 {
			return nil, errors.Wrap(ErrSnapshot, "truncated item list")
		}
		last += Place(delta)
		state := ItemState(data[0] &^ flagStarted)
		if state > ItemFailed {
			return nil, errors.Wrap(ErrSnapshot, "unknown item state")
		}
		out = append(out, itemProgress{
			at:       last,
			state:    state,
			started:  data[0]&flagStarted != 0,
			attempts: data[1],
		})
		data = data[2+n:]
	}
	return out, nil
}
