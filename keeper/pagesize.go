package keeper

import "sync/atomic"

const (
	initialPageRecords = 4
	maxPageRecords     = 16
	// The number of records doubles after a full page below smallPageBytes and
	// halves after a page above largePageBytes.
	smallPageBytes = 512 << 10
	largePageBytes = 4 << 20
)

// pageSize adapts the number of records per read to their size: a full page of
// the largest records would not fit into a host's memory, and small records are
// read in bulk. It is safe for concurrent use.
type pageSize struct {
	records atomic.Int64
}

// next returns the number of records for the next read.
func (s *pageSize) next() int {
	if n := s.records.Load(); n > 0 {
		return int(n)
	}
	return initialPageRecords
}

// observe adapts the number of records to the size of a page. It grows only after
// a full page.
func (s *pageSize) observe(records, bytes int) {
	n := s.next()
	switch {
	case bytes > largePageBytes:
		n = max(n/2, 1)
	case bytes < smallPageBytes && records == n:
		n = min(2*n, maxPageRecords)
	}
	s.records.Store(int64(n))
}

// reset returns to pages of one record after a failed read, whose page may have
// been too large.
func (s *pageSize) reset() {
	s.records.Store(1)
}
