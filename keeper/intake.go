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
	// itemsPerChunk bounds the items of one record.
	itemsPerChunk = 2000
	// chunkBytes bounds the item bytes of one record.
	chunkBytes = 512 << 10
)

// createJob copies the items of the input file into the partition and commits
// the job. The same identity and digest gives the job that is there already.
func (l *leader) createJob(ctx context.Context, m *CreateJobMessage) (*ledger.Job, error) {
	id := JobID(m.Customer, m.Name, l.p.opts.Partitions)
	release, err := l.intakes.acquire(ctx, id)
	if err != nil {
		return nil, err
	}
	defer release()
	known, err := l.job(ctx, &IDMessage{Customer: m.Customer, ID: id})
	switch {
	case err == nil:
		return l.sameJob(ctx, known, m)
	case !errors.Is(err, ErrNotFound):
		return nil, err
	}
	in := newIntake(l, id, m)
	if err := in.run(ctx); err != nil {
		in.abandon()
		return nil, err
	}
	// Another attempt may have won; the replay keeps the first.
	winner, err := l.job(ctx, &IDMessage{Customer: m.Customer, ID: id})
	if err != nil {
		return nil, err
	}
	if winner.Digest != in.sum() {
		return nil, errors.Wrapf(ErrConflict, "job %q", m.Name)
	}
	return winner, nil
}

// sameJob returns a job that was accepted before if it asks for the same.
func (l *leader) sameJob(ctx context.Context, known *ledger.Job, m *CreateJobMessage) (*ledger.Job, error) {
	if known.InputFile == m.InputFile && known.Endpoint == m.Endpoint {
		return known, nil
	}
	in := newIntake(l, known.Job, m)
	if err := in.read(ctx, func([]byte) error { return nil }); err != nil {
		return nil, err
	}
	if known.Digest != in.sum() {
		return nil, errors.Wrapf(ErrConflict, "job %q", m.Name)
	}
	return known, nil
}

// intake copies the items of a file chunk by chunk: its memory is bounded by
// the size of a chunk.
type intake struct {
	l       *leader
	m       *CreateJobMessage
	digest  hash.Hash
	pending ledger.JobItems
	size    int
	// proposed tells that chunks may stand in the stream.
	proposed bool
}

func newIntake(l *leader, job string, m *CreateJobMessage) *intake {
	in := &intake{l: l, m: m, digest: sha256.New(), pending: ledger.JobItems{Job: job, Attempt: rand.Text()}}
	in.digest.Write([]byte(m.Endpoint))
	in.digest.Write([]byte{0})
	return in
}

// sum is the hash of what the job asks for: its endpoint and its input.
func (in *intake) sum() string {
	return hex.EncodeToString(in.digest.Sum(nil))
}

func (in *intake) read(ctx context.Context, visit func(part []byte) error) error {
	return in.l.files.ReadFile(ctx, in.m.Customer, in.m.InputFile, func(part []byte) error {
		in.digest.Write(part)
		return visit(part)
	})
}

func (in *intake) run(ctx context.Context) error {
	// Each part of a file holds whole lines.
	err := in.read(ctx, func(part []byte) error {
		return eachLine(part, func(line []byte) error { return in.add(ctx, line) })
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
	return in.l.p.propose(ctx, ledger.Entry{JobCommit: in.commit()})
}

func (in *intake) commit() *ledger.JobCommit {
	now := time.Now().Unix()
	return &ledger.JobCommit{
		Job:         in.pending.Job,
		Attempt:     in.pending.Attempt,
		Customer:    in.m.Customer,
		Name:        in.m.Name,
		Digest:      in.sum(),
		InputFile:   in.m.InputFile,
		Endpoint:    in.m.Endpoint,
		Count:       in.pending.First,
		CreatedUnix: now,
		DueUnix:     now + in.m.WindowSeconds,
		TTLSeconds:  in.l.p.opts.ttlSeconds(),
		Metadata:    in.m.Metadata,
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
	if len(in.pending.Items) >= itemsPerChunk || in.size >= chunkBytes {
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
	return in.l.p.propose(ctx, ledger.Entry{JobItems: &chunk})
}

// abandonTimeout bounds the drop of an intake that failed.
const abandonTimeout = time.Second

// abandon drops what is in the stream of an intake that failed. Without it
// the chunks are dropped by the next epoch.
func (in *intake) abandon() {
	if !in.proposed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	drop := &ledger.JobAbandon{Job: in.pending.Job, Attempt: in.pending.Attempt}
	_ = in.l.p.propose(ctx, ledger.Entry{JobAbandon: drop})
}

func eachLine(part []byte, visit func(line []byte) error) error {
	scanner := bufio.NewScanner(bytes.NewReader(part))
	scanner.Buffer(make([]byte, 0, 4096), len(part)+1)
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
