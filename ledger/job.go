package ledger

// JobStatus is the state of a job.
type JobStatus string

// States of a job.
const (
	JobRunning   JobStatus = "in_progress"
	JobCompleted JobStatus = "completed"
	JobCanceled  JobStatus = "cancelled"
)

// JobCommit makes a job whole: from here on it is accepted.
type JobCommit struct {
	Job      string `json:"job"`
	Customer string `json:"customer"`
	// Name is the customer's own name of the job; it makes the job's identity.
	Name string `json:"name"`
	// Digest is the hash of what the job asks for.
	Digest string `json:"digest"`
	// Attempt names the intake whose items the job takes over.
	Attempt   string `json:"attempt"`
	InputFile string `json:"input_file"`
	Endpoint  string `json:"endpoint"`
	Count     int    `json:"count"`
	// CreatedUnix and DueUnix are in seconds since the Unix epoch.
	CreatedUnix int64 `json:"created"`
	DueUnix     int64 `json:"due"`

	Metadata Metadata `json:"metadata,omitempty"`
	// TTLSeconds is how long the job is kept after its end; 0 means for good.
	TTLSeconds int64 `json:"ttl_s,omitempty"`
}

// JobCancel stops a job.
type JobCancel struct {
	Job string `json:"job"`
}

// Job is a job as replayed.
type Job struct {
	JobCommit
	Status    JobStatus `json:"status"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`

	// ended is the time of the job's end, in milliseconds.
	ended  int64
	chunks []chunkRef
	items  []itemSlot
}

type chunkRef struct {
	at    Place
	first int
}

// Open returns the number of items without a result.
func (j *Job) Open() int {
	return j.Count - j.Completed - j.Failed
}

// State returns the state of an item.
func (j *Job) State(index int) ItemState {
	state := j.items[index].state
	if state == ItemOpen && j.Status == JobCanceled {
		return ItemCanceled
	}
	return state
}

// Tries returns the counted tries of an item.
func (j *Job) Tries(index int) int {
	return int(j.items[index].tries)
}

// Started reports whether an item has a durable start.
func (j *Job) Started(index int) bool {
	return j.items[index].started
}

// Result returns the place of an item's result.
func (j *Job) Result(index int) Place {
	return j.items[index].at
}

// Chunk returns the place of the chunk that holds an item's request.
func (j *Job) Chunk(index int) Place {
	return j.chunks[j.chunkOf(index)].at
}

// chunkOf returns the position of the chunk that holds an item.
func (j *Job) chunkOf(index int) int {
	low, high := 0, len(j.chunks)
	for high-low > 1 {
		mid := (low + high) / 2
		if j.chunks[mid].first <= index {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// wants reports whether the request of any item of a chunk may still be read: an
// item with a result needs it no more.
func (j *Job) wants(chunk int) bool {
	end := j.Count
	if chunk+1 < len(j.chunks) {
		end = j.chunks[chunk+1].first
	}
	for i := j.chunks[chunk].first; i < end; i++ {
		if j.items[i].state == ItemOpen {
			return true
		}
	}
	return false
}
