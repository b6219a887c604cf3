package batch

import (
	"strconv"
	"strings"

	"github.com/peridotmount/peridotmount/platform"
)

// outgoing is a record on its way to the ledger.
type outgoing struct {
	key   string
	value []byte
}

// tryMark separates a record's key from the number of the try that wrote it.
const tryMark = "#"

// encodeTry returns records as the store keeps them. Each try has keys of its own:
// of two copies under one key the store would keep the later one only, and a host
// that lists the ledger would see another order than one that has followed it.
func encodeTry(records []outgoing, try int) [][]byte {
	out := make([][]byte, len(records))
	for i, r := range records {
		out[i] = platform.EncodeKeyed(r.key+tryMark+strconv.Itoa(try), r.value)
	}
	return out
}

// baseKey returns the key of a record without the number of its try.
func baseKey(key string) string {
	base, _, _ := strings.Cut(key, tryMark)
	return base
}
