package peers

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// ErrMalformed means that a host's record can't be read.
var ErrMalformed = errors.New("record of a host is malformed")

// maxProcessor bounds the processor time of a host, in cores. The host with the most is the
// first to schedule.
const maxProcessor = 1 << 12

// Host is one host of the system, as its record says.
type Host struct {
	Name string `json:"name"`
	// Incarnation tells runs of the same host apart.
	Incarnation string `json:"incarnation"`
	// Address is the base URL that the other hosts reach it at.
	Address string `json:"address"`
	// Operators is the base URL that operators reach it at, or "".
	Operators string `json:"operators,omitempty"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	// Processor is the processor time that the host's process may use, in cores.
	Processor float64 `json:"processor,omitempty"`
	// Token is the bearer token that the host asks of the others, "" if it is not
	// known.
	Token string `json:"token"`
	// Joined is the offset of the incarnation's first record: it orders hosts by
	// age without regard to their clocks. It is negative in that first record.
	Joined int64 `json:"joined"`
	// Beat counts the records of the incarnation.
	Beat int64 `json:"beat"`
	// Leaving hosts are shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Stranded hosts reach no endpoint; others make their calls.
	Stranded bool `json:"stranded,omitempty"`
	// Helps is how many calls the host made for stranded ones when the record was written.
	Helps int `json:"helps,omitempty"`
}

// encode returns the value of the host's record.
func (h *Host) encode() ([]byte, error) {
	value, err := json.Marshal(h)
	return value, errors.Wrap(err, "encode host")
}

// Decode reads the record of a host. The error is ErrMalformed.
func Decode(r *platform.KeyedRecord) (Host, error) {
	return decodeHost(r.Key, r.Offset, r.Value)
}

// WithoutTokens returns records of hosts without their tokens. Those that can't be
// read are left out.
func WithoutTokens(records []platform.KeyedRecord) []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, 0, len(records))
	for i := range records {
		h, err := decodeHost(records[i].Key, records[i].Offset, records[i].Value)
		if err != nil {
			continue
		}
		h.Token = ""
		if value, err := h.encode(); err == nil {
			out = append(out, platform.KeyedRecord{Key: records[i].Key, Offset: records[i].Offset, Value: value})
		}
	}
	return out
}

// decodeHost reads the record at an offset.
func decodeHost(key string, offset int64, value []byte) (Host, error) {
	var h Host
	if err := json.Unmarshal(value, &h); err != nil {
		return h, errors.Wrap(ErrMalformed, err.Error())
	}
	if h.Name != key || h.Address == "" || h.Incarnation == "" {
		return h, errors.Wrap(ErrMalformed, "name, address or incarnation is missing")
	}
	if !platform.IsAddress(h.Address) || h.Operators != "" && !platform.IsAddress(h.Operators) {
		return h, errors.Wrapf(ErrMalformed, "address %.40q or %.40q", h.Address, h.Operators)
	}
	if h.Processor < 0 || h.Processor > maxProcessor {
		return h, errors.Wrapf(ErrMalformed, "processor time of %g cores", h.Processor)
	}
	if h.Joined < 0 {
		h.Joined = offset
	}
	return h, nil
}
