package keeper

import (
	"context"
	"math"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/platform"
)

// read performs a read of the log stream for the core. Records are decoded here,
// without holding the partition's lock.
func (p *Partition) read(ctx context.Context, r *core.Read) {
	from, limit := r.From, p.page.next()
	switch r.Kind {
	case core.ReadEnd:
		// A read from beyond the end returns no records, only the end offset.
		from, limit = math.MaxInt64, 1
	case core.ReadHint:
		limit = 1
	case core.ReadTail:
	}
	page, err := p.opts.Log.Read(ctx, p.stream, from, limit)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		p.page.reset()
		if !p.readFailing.Swap(true) {
			_ = level.Warn(p.logger).Log("msg", "read of log stream failed; further failures are not logged until a read succeeds", "err", err)
		}
		_ = p.inputs.Put(ctx, readDone{})
		return
	}
	if p.readFailing.Swap(false) {
		_ = level.Info(p.logger).Log("msg", "log stream is readable again")
	}
	_ = p.inputs.Put(ctx, readDone{page: p.decode(&page)})
}

func (p *Partition) decode(page *platform.Page) *core.Page {
	out := &core.Page{Next: page.Next, Horizon: page.Horizon, End: page.End}
	bytes := 0
	for i := range page.Records {
		offset := page.Records[i].Offset
		bytes += len(page.Records[i].Data)
		r, err := ledger.Decode(page.Records[i].Data)
		if err != nil {
			_ = level.Warn(p.logger).Log("msg", "record in log stream is malformed; ignored", "offset", offset, "err", err)
		}
		out.Records = append(out.Records, core.Record{Offset: offset, Content: r})
		page.Records[i].Data = nil
	}
	p.page.observe(len(page.Records), bytes)
	return out
}

// fetch reads a single record again for the core, which carries its content forward.
func (p *Partition) fetch(ctx context.Context, offset int64) {
	r, err := p.fetchRecord(ctx, offset)
	if err != nil {
		_ = level.Warn(p.logger).Log("msg", "second read of a record failed", "offset", offset, "err", err)
	}
	_ = p.inputs.Put(ctx, recordFetched{offset: offset, record: r, trimmed: errors.Is(err, ErrTrimmed)})
}

// fetchRecord reads one record of the stream. It returns ErrTrimmed if the record
// was trimmed from the log.
func (p *Partition) fetchRecord(ctx context.Context, offset int64) (*ledger.Record, error) {
	page, err := p.opts.Log.Read(ctx, p.stream, offset, 1)
	if errors.Is(err, platform.ErrTrimmed) {
		return nil, errors.Wrapf(ErrTrimmed, "record %d", offset)
	}
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, errors.Wrapf(ErrUnavailable, "record %d not read", offset)
	}
	r, err := ledger.Decode(page.Records[0].Data)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return r, nil
}

// entry reads the entry at a place. It returns ErrTrimmed if the record was
// trimmed from the log. The content may have been rewritten at the end of the log
// since the place was looked up, so the caller has to look it up again.
func (p *Partition) entry(ctx context.Context, at ledger.Place) (*ledger.Entry, error) {
	r, err := p.records.get(ctx, at.Offset())
	if err != nil {
		return nil, err
	}
	e := at.EntryIn(r)
	if e == nil {
		return nil, errors.Wrapf(ErrUnavailable, "no entry %d in record %d", at.Entry(), at.Offset())
	}
	return e, nil
}
