package keeper

import "sync/atomic"

const (
	firstPage = 4
	maxPage   = 16
	// smallPageBytes and largePageBytes are where pages grow and shrink.
	smallPageBytes = 512 << 10
	largePageBytes = 4 << 20
)

// pageSize chooses how many records to read at once: a page of the largest
// records would not fit into a host's memory, and small ones are read in bulk.
// It is safe for concurrent use.
type pageSize struct {
	records atomic.Int64
}

// next returns the number of records to read.
func (s *pageSize) next() int {
	if n := s.records.Load(); n > 0 {
		return int(n)
	}
	return firstPage
}

// read records the size of a page; only a full one tells of the next.
func (s *pageSize) read(records, bytes int) {
	n := s.next()
	switch {
	case bytes > largePageBytes:
		n = max(n/2, 1)
	case bytes < smallPageBytes && records == n:
		n = min(2*n, maxPage)
	}
	s.records.Store(int64(n))
}

// failed begins anew with small pages: the last one may have been too large.
func (s *pageSize) failed() {
	s.records.Store(1)
}
