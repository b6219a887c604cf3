package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/engine"
)

// Token returns the token that every engine stand-in generates at an offset of
// the answer to a request, so that any answer can be checked.
func Token(r *engine.StreamRequest, offset int) string {
	key := r.Model + "\x00" + r.Version + "\x00" + r.Adapter + "\x00" + r.Prompt + "\x00" + strconv.Itoa(offset)
	return "t" + strconv.FormatUint(xxhash.Sum64String(key)%1_000_000, 36) + " "
}
