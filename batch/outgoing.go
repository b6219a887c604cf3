package batch

import (
	"strconv"
	"strings"

	"github.com/peridotmount/peridotmount/platform"
)

// pendingRecord is an encoded record that is being appended to the ledger.
type pendingRecord struct {
	key   string
	value []byte
}

// attemptSeparator separates the base key of a record from the number of the attempt
// that wrote it.
const attemptSeparator = "#"

// encode returns the record in the store's format, under the key of an attempt. Each
// attempt has its own key: of two copies under the same key, the store would keep only
// the later one, and a host that lists the ledger would see an order that differs from
// that of a host that has followed it.
func (r *pendingRecord) encode(attempt int) []byte {
	return platform.EncodeKeyed(r.attemptKey(attempt), r.value)
}

// attemptKey returns the key that an attempt writes.
func (r *pendingRecord) attemptKey(attempt int) string {
	return r.key + attemptSeparator + strconv.Itoa(attempt)
}

// baseKey returns the key of a record without the number of its attempt.
func baseKey(key string) string {
	if i := strings.LastIndex(key, attemptSeparator); i >= 0 {
		return key[:i]
	}
	return key
}
