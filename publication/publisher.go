package publication

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

const (
	// publishAttempts is the maximum number of appends of one change.
	publishAttempts = 4
	// initialBackoff is the pause after the first append; it doubles each time.
	initialBackoff = 100 * time.Millisecond
)

// Publisher publishes changes and determines their verdicts by reading them back.
type Publisher struct {
	log   platform.Log
	sleep func(time.Duration)
	// chunkBytes is the approximate maximum size of a record.
	chunkBytes int
}

// NewPublisher returns a Publisher to the configuration stream of l.
func NewPublisher(l platform.Log) *Publisher {
	return &Publisher{log: l, sleep: time.Sleep, chunkBytes: chunkBytes}
}

// Load replays the stream to its end and returns the offset of the next record.
// It returns ErrIncomplete if the start was trimmed and the log holds no refresh.
func (p *Publisher) Load(ctx context.Context) (*Replica, int64, error) {
	replica := NewReplica()
	if _, err := p.replay(ctx, replica, ""); err != nil {
		return nil, 0, err
	}
	if replica.Incomplete() {
		return nil, 0, ErrIncomplete
	}
	return replica, replica.Next(), nil
}

// Publish publishes c and returns its verdict. It is idempotent: a change whose ID
// was already applied is not applied again. The error is ErrUnknown if the change
// was sent and its verdict could not be determined; other errors mean that the
// change is not in force.
func (p *Publisher) Publish(ctx context.Context, c Change) (Verdict, error) {
	replica, next, err := p.Load(ctx)
	if err != nil {
		return Verdict{}, errors.Wrap(err, "read configuration")
	}
	if v, found := replica.Find(c.ID); found {
		return v, nil
	}
	if c.Base != replica.Current().Number {
		return replica.conflict(&c), nil
	}
	c, err = moveToChunks(ctx, p.log, next, c, p.chunkBytes)
	if err != nil {
		return Verdict{}, errors.Wrap(err, "append chunks of change")
	}
	data, err := json.Marshal(Record{Change: &c})
	if err != nil {
		return Verdict{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return p.commit(ctx, replica, &c, data)
}

// commit appends the record of a change until it is read back. An append whose
// response was lost is found in the log; a record that appears twice or late is
// applied only once.
func (p *Publisher) commit(ctx context.Context, r *Replica, c *Change, data []byte) (Verdict, error) {
	backoff := initialBackoff
	sent := false
	failure := ErrIncomplete
	for range publishAttempts {
		_, err := p.log.Append(ctx, Stream, [][]byte{data})
		sent = sent || err == nil || errors.Is(err, platform.ErrUnavailable)
		if err != nil {
			failure = err
		}
		verdict, err := p.replay(ctx, r, c.ID)
		switch {
		case err != nil:
			failure = err
		case verdict != nil:
			return *verdict, nil
		case c.Base != r.Current().Number:
			// Even if the append still takes effect, the change will be rejected.
			return r.conflict(c), nil
		}
		if ctx.Err() != nil {
			break
		}
		p.sleep(backoff)
		backoff *= 2
	}
	if !sent {
		return Verdict{}, errors.Wrap(failure, "append change")
	}
	return Verdict{}, errors.Wrap(ErrUnknown, failure.Error())
}

// replay reads the stream to its end and returns the verdict of the change with
// the given ID, or nil if it was not read.
func (p *Publisher) replay(ctx context.Context, r *Replica, id string) (*Verdict, error) {
	var own *Verdict
	for {
		page, err := p.log.Read(ctx, Stream, r.Next(), readLimit)
		if errors.Is(err, platform.ErrTrimmed) {
			r.MarkTrimmed(page.Horizon)
			continue
		}
		if err != nil {
			return nil, err
		}
		for i := range page.Records {
			v := r.Apply(page.Records[i].Offset, page.Records[i].Data)
			if own == nil && v.ID == id && id != "" && v.Outcome != Passed {
				own = &v
			}
		}
		if page.Next < page.End {
			continue
		}
		if v, found := r.Find(id); own == nil && found {
			own = &v // The change was applied before a refresh that was read.
		}
		return own, nil
	}
}

func (r *Replica) conflict(c *Change) Verdict {
	return r.verdict(c.ID, Conflict, errors.Wrapf(ErrConflict, "base %d, in force %d", c.Base, r.current.Number))
}
