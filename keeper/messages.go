package keeper

import "github.com/peridotmount/peridotmount/ledger"

// ChunkMessage requests that a chunk of a file be stored.
type ChunkMessage struct {
	Chunk ledger.FileChunk `json:"chunk"`
}

// CommitMessage requests that a file be completed.
type CommitMessage struct {
	Commit ledger.FileCommit `json:"commit"`
}

// ReadMessage requests one part of a file, which is a chunk, or of a job's results.
type ReadMessage struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
	// Part is the index of a chunk of the file, or that of the first item of the
	// job whose line is to be returned.
	Part int `json:"part"`
	// Errors selects the error lines of a job instead of its output lines.
	Errors bool `json:"errors,omitempty"`
}

// Data is one part of a file or of a job's results.
type Data struct {
	Bytes []byte `json:"bytes"`
	// Next is the value of Part for the next request, or -1 at the end.
	Next int `json:"next"`
}

// CreateJobMessage requests the creation of a job.
type CreateJobMessage struct {
	Customer  string `json:"customer"`
	Name      string `json:"name"`
	InputFile string `json:"input_file"`
	// Endpoint is the API path of the items' requests, such as /v1/completions, and
	// not a back end.
	Endpoint string `json:"endpoint"`
	// WindowSeconds is the completion window: the job is due that many seconds
	// after it was accepted.
	WindowSeconds int64 `json:"window_s"`
	// Metadata is stored as given by the customer.
	Metadata ledger.Metadata `json:"metadata,omitempty"`
}

// IDMessage identifies a job, file or request of a customer. Operations that list
// use only the customer.
type IDMessage struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
}

// JobList lists the jobs of one customer in one partition.
type JobList struct {
	Jobs []ledger.Job `json:"jobs"`
}

// LocateMessage queries a host for the leader of a partition.
type LocateMessage struct {
	// Missing is set if an earlier search found no leader.
	Missing bool `json:"missing"`
}

// Location is the leader of a partition as known to the host that responds.
type Location struct {
	// Leads is set if the host that responds leads the partition itself.
	Leads bool `json:"leads"`
	// Holder is the last known lease holder, or "".
	Holder string `json:"holder"`
}

// Empty is the response of operations that return no data.
type Empty struct{}
