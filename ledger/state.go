package ledger

import (
	"sort"

	"github.com/peridotmount/peridotmount/lease"
)

// State is the state of a partition after replay up to an offset. Invariant: all
// readers that replayed the stream up to the same offset hold the same State,
// whether they started at the beginning of the stream or at a snapshot.
type State struct {
	Lease lease.State
	// Now is the partition's time, in milliseconds since the Unix epoch: the
	// highest time of a valid record, where each record after the first advances
	// it by at most maxTimeStepMillis. All expiry is computed from it.
	Now int64

	files    map[string]*File
	jobs     map[string]*Job
	running  map[string]*Job
	intakes  map[intakeKey]*intake
	requests map[string]*Request
	// openItems is the number of items without a result, over all running jobs.
	openItems int
	// firstMillis is the time of the first record, in milliseconds since the
	// Unix epoch.
	firstMillis int64
	// sweptMillis is the value of Now at the last expiry sweep.
	sweptMillis int64
	snapshots   snapshotTracker
}

// NewState returns the state of an empty stream.
func NewState() *State {
	return &State{
		Lease:    lease.NewState(),
		files:    make(map[string]*File),
		jobs:     make(map[string]*Job),
		running:  make(map[string]*Job),
		intakes:  make(map[intakeKey]*intake),
		requests: make(map[string]*Request),
	}
}

// File returns the file with the given ID, or nil. The upload may still be in
// progress.
func (s *State) File(id string) *File {
	return s.files[id]
}

// Job returns the accepted job with the given ID, or nil.
func (s *State) Job(id string) *Job {
	return s.jobs[id]
}

// Jobs returns the accepted jobs of a customer, sorted by ID; with an empty
// customer, those of all customers.
func (s *State) Jobs(customer string) []*Job {
	var out []*Job
	for _, j := range s.jobs {
		if customer == "" || j.Customer == customer {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Job < out[k].Job })
	return out
}

// EachRunning calls visit for every running job, in no particular order.
func (s *State) EachRunning(visit func(*Job)) {
	for _, j := range s.running {
		visit(j)
	}
}

// RunningJob returns the running job with the given ID, or nil.
func (s *State) RunningJob(id string) *Job {
	return s.running[id]
}

// OpenItems returns the number of items without a result, over all running jobs.
func (s *State) OpenItems() int {
	return s.openItems
}

// Request returns the keyed request with the given ID, or nil.
func (s *State) Request(id string) *Request {
	return s.requests[id]
}
