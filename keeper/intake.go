package keeper

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

const (
	// maxChunkItems is the number of items at which a chunk of items is proposed.
	// A chunk is one entry and is not split, so its limits bound the size of the
	// record that it needs.
	maxChunkItems = 2000
	// maxChunkBytes is the total length of input lines, in bytes, at which a chunk
	// is proposed. A chunk may exceed it by less than one line.
	maxChunkBytes = 512 << 10
)

// createJob copies the items of the input file into the partition and commits
// the job. If a job with the same name and digest exists, it is returned.
func (l *leader) createJob(ctx context.Context, m *CreateJobMessage) (*ledger.Job, error) {
	id := JobID(m.Customer, m.Name, l.partition.opts.Partitions)
	release, err := l.intakes.acquire(ctx, id)
	if err != nil {
		return nil, err
	}
	job, in, err := l.takeJob(ctx, id, m)
	if in == nil {
		release()
		return job, err
	}
	// The caller doesn't wait for the ledger to forget the intake; the next intake does.
	go func() {
		defer release()
		in.abandon()
	}()
	return nil, err
}

// takeJob returns the job that a message creates, or the intake that failed.
func (l *leader) takeJob(ctx context.Context, id string, m *CreateJobMessage) (*ledger.Job, *intake, error) {
	existing, err := l.job(ctx, &IDMessage{Customer: m.Customer, ID: id})
	switch {
	case err == nil:
		job, err := l.checkExistingJob(ctx, existing, m)
		return job, nil, err
	case !errors.Is(err, ErrNotFound):
		return nil, nil, err
	}
	in := newIntake(l, id, m)
	if err := in.run(ctx); err != nil {
		return nil, in, err
	}
	// A concurrent attempt may have committed the job before this one; the state
	// keeps the first commit in the log.
	winner, err := l.job(ctx, &IDMessage{Customer: m.Customer, ID: id})
	if err != nil {
		return nil, nil, err
	}
	if winner.Digest != in.sum() {
		return nil, nil, errors.Wrapf(ErrConflict, "job %q", m.Name)
	}
	return winner, nil, nil
}

// checkExistingJob returns an existing job if it has the same input and API path
// as the message, or else ErrConflict. Another input file is read, to compare its
// content by the digest.
func (l *leader) checkExistingJob(ctx context.Context, existing *ledger.Job, m *CreateJobMessage) (*ledger.Job, error) {
	if existing.InputFile == m.InputFile && existing.Endpoint == m.Endpoint {
		return existing, nil
	}
	in := newIntake(l, existing.Job, m)
	if err := in.read(ctx, func([]byte) error { return nil }); err != nil {
		return nil, err
	}
	if existing.Digest != in.sum() {
		return nil, errors.Wrapf(ErrConflict, "job %q", m.Name)
	}
	return existing, nil
}

// intake is one attempt to copy the items of a job from its input file into the
// partition. It proposes them in chunks, so that its memory use is bounded by the
// size of a chunk.
type intake struct {
	leader  *leader
	message *CreateJobMessage
	digest  hash.Hash
	pending ledger.JobItems
	size    int
	// proposed is set once the stream may contain chunks of this intake.
	proposed bool
}

func newIntake(l *leader, job string, m *CreateJobMessage) *intake {
	in := &intake{leader: l, message: m, digest: sha256.New(), pending: ledger.JobItems{Job: job, Attempt: rand.Text()}}
	in.digest.Write([]byte(m.Endpoint))
	in.digest.Write([]byte{0})
	return in
}

// sum returns the digest of the job: the hash of its API path and its input.
func (in *intake) sum() string {
	return hex.EncodeToString(in.digest.Sum(nil))
}

func (in *intake) read(ctx context.Context, visit func(chunk []byte) error) error {
	return in.leader.files.ReadFile(ctx, in.message.Customer, in.message.InputFile, func(chunk []byte) error {
		in.digest.Write(chunk)
		return visit(chunk)
	})
}

func (in *intake) run(ctx context.Context) error {
	// Lines do not span chunks: each chunk of a file holds only complete lines.
	err := in.read(ctx, func(chunk []byte) error {
		return eachLine(chunk, func(line []byte) error { return in.add(ctx, line) })
	})
	if err != nil {
		return err
	}
	if err := in.flush(ctx); err != nil {
		return err
	}
	if in.pending.First == 0 {
		return errors.Wrap(ErrInvalid, "the input file has no items")
	}
	return in.leader.partition.propose(ctx, ledger.Entry{JobCommit: in.commit()})
}

func (in *intake) commit() *ledger.JobCommit {
	now := time.Now().Unix()
	return &ledger.JobCommit{
		Job:         in.pending.Job,
		Attempt:     in.pending.Attempt,
		Customer:    in.message.Customer,
		Name:        in.message.Name,
		Digest:      in.sum(),
		InputFile:   in.message.InputFile,
		Endpoint:    in.message.Endpoint,
		Count:       in.pending.First,
		CreatedUnix: now,
		DueUnix:     now + in.message.WindowSeconds,
		TTLSeconds:  in.leader.partition.opts.ttlSeconds(),
		Metadata:    in.message.Metadata,
	}
}

type inputLine struct {
	CustomID string          `json:"custom_id"`
	Body     json.RawMessage `json:"body"`
}

func (in *intake) add(ctx context.Context, line []byte) error {
	var item inputLine
	if err := json.Unmarshal(line, &item); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	in.pending.Items = append(in.pending.Items, ledger.Item{CustomID: item.CustomID, Body: item.Body})
	in.size += len(line)
	if len(in.pending.Items) >= maxChunkItems || in.size >= maxChunkBytes {
		return in.flush(ctx)
	}
	return nil
}

func (in *intake) flush(ctx context.Context) error {
	if len(in.pending.Items) == 0 {
		return nil
	}
	chunk := in.pending
	in.pending.First += len(chunk.Items)
	in.pending.Items = nil
	in.size = 0
	in.proposed = true
	return in.leader.partition.propose(ctx, ledger.Entry{JobItems: &chunk})
}

// abandonTimeout is the timeout of the proposal that abandons a failed intake.
const abandonTimeout = time.Second

// abandon discards the chunks that a failed intake has appended to the stream.
// If the proposal fails, they are discarded when the next epoch begins.
func (in *intake) abandon() {
	if !in.proposed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	abandonment := &ledger.JobAbandon{Job: in.pending.Job, Attempt: in.pending.Attempt}
	_ = in.leader.partition.propose(ctx, ledger.Entry{JobAbandon: abandonment})
}

func eachLine(chunk []byte, visit func(line []byte) error) error {
	scanner := bufio.NewScanner(bytes.NewReader(chunk))
	scanner.Buffer(make([]byte, 0, 4096), len(chunk)+1)
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := visit(line); err != nil {
			return err
		}
	}
	return scanner.Err()
}
