package ledger

// JobStatus is the status of a job, as stored and as reported to customers.
type JobStatus string

// Job statuses.
const (
	JobRunning   JobStatus = "in_progress"
	JobCompleted JobStatus = "completed"
	JobCanceled  JobStatus = "cancelled"
)

// JobCommit completes the intake of a job: once it is applied, the job is accepted.
type JobCommit struct {
	Job      string `json:"job"`
	Customer string `json:"customer"`
	// Name is the job's name, chosen by the customer; it identifies the job among
	// those of the customer.
	Name string `json:"name"`
	// Digest is the hash of the job's submission: its Endpoint and the content of
	// its input file.
	Digest string `json:"digest"`
	// Attempt identifies the intake whose items belong to the job.
	Attempt   string `json:"attempt"`
	InputFile string `json:"input_file"`
	// Endpoint is the API path of the items' requests, such as /v1/completions, and
	// not a back end.
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	// CreatedUnix and DueUnix are in seconds since the Unix epoch.
	CreatedUnix int64 `json:"created"`
	DueUnix     int64 `json:"due"`

	Metadata Metadata `json:"metadata,omitempty"`
	// TTLSeconds is the retention period after the job ended; 0 means no expiry.
	TTLSeconds int64 `json:"ttl_s,omitempty"`
}

// JobCancel cancels a running job.
type JobCancel struct {
	Job string `json:"job"`
}

// Job is the replayed state of an accepted job.
type Job struct {
	JobCommit
	Status    JobStatus `json:"status"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`

	// endedMillis is the time at which the job ended, in milliseconds since the
	// Unix epoch.
	endedMillis int64
	chunks      []chunkRef
	items       []itemProgress
}

// chunkRef refers to a chunk of items by its place and the index of its first item.
type chunkRef struct {
	at    Place
	first int
}

// Open returns the number of items without a result.
func (j *Job) Open() int {
	return j.Count - j.Completed - j.Failed
}

// State returns the state of an item; open items of a cancelled job are
// ItemCanceled.
func (j *Job) State(index int) ItemState {
	state := j.items[index].state
	if state == ItemOpen && j.Status == JobCanceled {
		return ItemCanceled
	}
	return state
}

// RunAttempts returns the number of failed attempts counted for an item, at most
// maxCountedAttempts.
func (j *Job) RunAttempts(index int) int {
	return int(j.items[index].attempts)
}

// Started reports whether a start record of the item was applied.
func (j *Job) Started(index int) bool {
	return j.items[index].started
}

// Result returns the place of an item's result; it is meaningful only once the
// item has one.
func (j *Job) Result(index int) Place {
	return j.items[index].at
}

// Chunk returns the place of the chunk that contains an item's request.
func (j *Job) Chunk(index int) Place {
	return j.chunks[j.chunkOf(index)].at
}

// chunkOf returns the index in j.chunks of the chunk that contains an item.
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

// chunkNeeded reports whether the request of any item in a chunk may still be read.
// The request of an item that has a result is never read again.
func (j *Job) chunkNeeded(chunk int) bool {
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
