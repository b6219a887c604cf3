package keeper

import (
	"context"

	"github.com/peridotmount/peridotmount/ledger"
)

// operation is a call that a partition's leader serves; name is the last element
// of its path.
type operation[In, Out any] struct {
	name string
	// long is set if the duration grows with the size of the input, so that
	// opTimeout does not apply.
	long bool
	run  func(l *leader, ctx context.Context, in *In) (*Out, error)
}

var (
	opPutChunk      = operation[ChunkMessage, Empty]{"put-chunk", false, (*leader).putChunk}
	opCommitFile    = operation[CommitMessage, ledger.File]{"commit-file", false, (*leader).commitFile}
	opFile          = operation[IDMessage, ledger.File]{"file", false, (*leader).file}
	opReadFile      = operation[ReadMessage, Data]{"read-file", false, (*leader).readFile}
	opCreateJob     = operation[CreateJobMessage, ledger.Job]{"create-job", true, (*leader).createJob}
	opJob           = operation[IDMessage, ledger.Job]{"job", false, (*leader).job}
	opJobs          = operation[IDMessage, JobList]{"jobs", false, (*leader).jobs}
	opCancelJob     = operation[IDMessage, ledger.Job]{"cancel-job", false, (*leader).cancelJob}
	opReadOutput    = operation[ReadMessage, Data]{"read-output", false, (*leader).readOutput}
	opStartRequest  = operation[StartMessage, RequestStatus]{"start-request", false, (*leader).startRequest}
	opFinishRequest = operation[FinishMessage, RequestStatus]{"finish-request", false, (*leader).finishRequest}
	opRequest       = operation[IDMessage, RequestStatus]{"request", false, (*leader).request}
)

// PutChunk stores a chunk of a file.
func (c *Client) PutChunk(ctx context.Context, chunk ledger.FileChunk) error {
	partition, err := PartitionOfID(chunk.File, c.keeper.opts.Partitions)
	if err != nil {
		return err
	}
	_, err = call(ctx, c, partition, opPutChunk, &ChunkMessage{Chunk: chunk})
	return err
}

// CommitFile completes a file whose chunks were all stored by PutChunk.
func (c *Client) CommitFile(ctx context.Context, commit ledger.FileCommit) (*ledger.File, error) {
	partition, err := PartitionOfID(commit.File, c.keeper.opts.Partitions)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, partition, opCommitFile, &CommitMessage{Commit: commit})
}

// File returns a file of a customer.
func (c *Client) File(ctx context.Context, customer, id string) (*ledger.File, error) {
	return callByID(ctx, c, opFile, customer, id)
}

// ReadFile calls visit with the chunks of a file, in order. It ends at the first
// error of visit and returns it.
func (c *Client) ReadFile(ctx context.Context, customer, id string, visit func([]byte) error) error {
	return readParts(ctx, c, opReadFile, &ReadMessage{Customer: customer, ID: id}, visit)
}

// CreateJob creates a job from an input file. It is idempotent: the same name, API
// path and input return the existing job, another API path or input gives
// ErrConflict.
func (c *Client) CreateJob(ctx context.Context, m *CreateJobMessage) (*ledger.Job, error) {
	return call(ctx, c, PartitionOf(m.Customer, m.Name, c.keeper.opts.Partitions), opCreateJob, m)
}

// Job returns a job of a customer.
func (c *Client) Job(ctx context.Context, customer, id string) (*ledger.Job, error) {
	return callByID(ctx, c, opJob, customer, id)
}

// CancelJob cancels a job of a customer.
func (c *Client) CancelJob(ctx context.Context, customer, id string) (*ledger.Job, error) {
	return callByID(ctx, c, opCancelJob, customer, id)
}

// Jobs returns all jobs of a customer, from all partitions.
func (c *Client) Jobs(ctx context.Context, customer string) ([]ledger.Job, error) {
	var out []ledger.Job
	for i := range c.keeper.opts.Partitions {
		list, err := call(ctx, c, i, opJobs, &IDMessage{Customer: customer})
		if err != nil {
			return nil, err
		}
		out = append(out, list.Jobs...)
	}
	return out, nil
}

// ReadOutput calls visit with the parts of a job's output lines, or of its error
// lines if errorLines is set. It ends at the first error of visit and returns it.
func (c *Client) ReadOutput(ctx context.Context, customer, id string, errorLines bool, visit func([]byte) error) error {
	return readParts(ctx, c, opReadOutput, &ReadMessage{Customer: customer, ID: id, Errors: errorLines}, visit)
}

func callByID[Out any](ctx context.Context, c *Client, op operation[IDMessage, Out], customer, id string) (*Out, error) {
	partition, err := PartitionOfID(id, c.keeper.opts.Partitions)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, partition, op, &IDMessage{Customer: customer, ID: id})
}

func readParts(ctx context.Context, c *Client, op operation[ReadMessage, Data], m *ReadMessage, visit func([]byte) error) error {
	partition, err := PartitionOfID(m.ID, c.keeper.opts.Partitions)
	if err != nil {
		return err
	}
	for m.Part >= 0 {
		data, err := call(ctx, c, partition, op, m)
		if err != nil {
			return err
		}
		if err := visit(data.Bytes); err != nil {
			return err
		}
		m.Part = data.Next
	}
	return nil
}
