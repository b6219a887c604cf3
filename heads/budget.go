package heads

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// byteCost and fieldCost are what a byte and a field of a head are taken to cost in memory. A field
	// of six bytes was measured at 88 to 114 bytes in net/http's map.
	byteCost  = 2
	fieldCost = 128
	// freeCost is the part of a head's cost that is not reserved: listeners count it with the buffers of
	// a connection. A head of 20 fields and 2.5 KB is below it.
	freeCost = 8 << 10
	// reserveStep is the unit of reservations.
	reserveStep = 4 << 10
)

// cost returns the memory that a head is taken to need.
func cost(bytes, fields int) int64 {
	return int64(bytes)*byteCost + int64(fields)*fieldCost
}

// MemoryFor returns what has to be reserved at most for a head of so many bytes and fields.
func MemoryFor(bytes, fields int) int64 {
	return reservation(cost(bytes, fields))
}

// reservation returns what is reserved for a head of a cost.
func reservation(cost int64) int64 {
	if cost <= freeCost {
		return 0
	}
	return (cost - freeCost + reserveStep - 1) / reserveStep * reserveStep
}

// Budget is the memory for the heads of all connections of a process. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget of so many bytes, whose use is registered with r.
func NewBudget(limit int64, r prometheus.Registerer) *Budget {
	b := &Budget{limit: limit}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "peridotmount_heads_reserved_bytes",
		Help: "Memory reserved for the heads of requests in progress.",
	}, func() float64 { return float64(b.reserved()) }))
	return b
}

// resize changes a reservation and reports whether it did.
func (b *Budget) resize(before, after int64) bool {
	if b == nil || before == after {
		return true
	}
	if after < before {
		b.used.Add(after - before)
		return true
	}
	if b.used.Add(after-before) > b.limit {
		b.used.Add(before - after)
		return false
	}
	return true
}

// reserved returns what is reserved now.
func (b *Budget) reserved() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
