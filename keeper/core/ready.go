package core

import "github.com/peridotmount/peridotmount/ledger"

// Ready holds a Core's requests to its driver. Each request is made once. Append,
// Read and Fetch have at most one call in progress each.
type Ready struct {
	// Append is a record to append; the driver then calls AppendDone.
	Append []byte
	// Entries is the number of entries in Append.
	Entries int
	// Read is the read to perform; the driver then calls ReadDone.
	Read *Read
	// Fetch is the offset of a record to read again; the driver then calls
	// Fetched.
	Fetch *int64
	// Settled lists the proposals that ended.
	Settled []Settlement
	// Stop lists running items that are no longer needed. The driver stops them
	// before it starts the items in Start, which may contain the same items
	// again.
	Stop []ItemKey
	// Start lists the items to run; the driver calls ItemEnded for each.
	Start []Task
}

// stop requests that an item be stopped. If the driver has not seen the item's
// start yet, the start is withdrawn instead, because the driver handles stops
// before starts.
func (r *Ready) stop(key ItemKey) {
	for i := range r.Start {
		if r.Start[i].Key == key {
			r.Start = append(r.Start[:i:i], r.Start[i+1:]...)
			return
		}
	}
	r.Stop = append(r.Stop, key)
}

// ReadKind is the purpose of a Read.
type ReadKind int

// Kinds of Read.
const (
	// ReadTail reads the records from an offset onwards.
	ReadTail ReadKind = iota
	// ReadEnd reads only the offset of the stream's end, no records.
	ReadEnd
	// ReadHint reads the one record at an offset for its snapshot hint: the offset
	// of the newest complete snapshot that the record's writer knew of.
	ReadHint
)

// Read is one read of the stream.
type Read struct {
	Kind ReadKind
	From int64
}

// Page is the result of a Read. If Horizon lies after the requested offset, the
// Page holds no records.
type Page struct {
	Records []Record
	// Next is the offset after the last of the Records.
	Next int64
	// Horizon is the lowest offset that the log retains.
	Horizon int64
	// End is the offset after the newest record of the stream.
	End int64
}

// Record is a record read from the stream; Content is nil if its bytes do not
// decode.
type Record struct {
	Offset  int64
	Content *ledger.Record
}

// Settlement is the outcome of a proposal. A nil Err means that its entries were
// read back in a valid record.
type Settlement struct {
	ID  uint64
	Err error
}

// ItemKey identifies an item of a job.
type ItemKey struct {
	Job   string
	Index int
}

// Task is an item to run.
type Task struct {
	Key      ItemKey
	Customer string
	Endpoint string
	// Chunk is the location of the chunk that holds the item's request.
	Chunk ledger.Place
	// Attempts is the number of earlier runs that counted as attempts.
	Attempts int
	// DueUnix is the job's deadline, in seconds since the Unix epoch.
	DueUnix int64
	// PriorTokens holds the tokens received in earlier runs.
	PriorTokens []string
	// Interrupted reports that an earlier leader may have run the item, and that
	// the item must not run twice.
	Interrupted bool
}
