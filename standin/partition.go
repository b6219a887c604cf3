package standin

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// errTrimmed means that a read names an offset that is no longer kept.
var errTrimmed = errors.New("records are trimmed")

const (
	// pageHead is the size of a page's head: the partition's end and first offset.
	pageHead = 16
	// listedKeys and listedBytes are the most on a page of a listing.
	listedKeys  = 500
	listedBytes = 1 << 20
)

// storedRecord is one record of a partition.
type storedRecord struct {
	offset int64
	data   []byte
	at     time.Time
}

// partition is one partition of a topic.
type partition struct {
	keyed   bool
	end     int64
	records []storedRecord
	// keys hold the newest record of each key, also those that are trimmed.
	keys map[string]storedRecord
}

// first returns the offset of the first record that is kept.
func (p *partition) first() int64 {
	return p.end - int64(len(p.records))
}

func (p *partition) append(data [][]byte, now time.Time) int64 {
	first := p.end
	for _, d := range data {
		r := storedRecord{offset: p.end, data: append([]byte(nil), d...), at: now}
		p.end++
		p.records = append(p.records, r)
		p.index(r)
	}
	return first
}

func (p *partition) index(r storedRecord) {
	if !p.keyed || len(r.data) == 0 || len(r.data) < 1+int(r.data[0]) {
		return
	}
	n := 1 + int(r.data[0])
	key := string(r.data[1:n])
	if len(r.data) == n {
		delete(p.keys, key)
		return
	}
	p.keys[key] = r
}

// trim drops the records before an offset.
func (p *partition) trim(before int64) {
	if n := min(before, p.end) - p.first(); n > 0 {
		p.records = append([]storedRecord(nil), p.records[n:]...)
	}
}

// expire drops the records that the limits do not keep.
func (p *partition) expire(f *StoreFaults, now time.Time) {
	if f.KeepRecords > 0 {
		p.trim(p.end - int64(f.KeepRecords))
	}
	if f.KeepMillis <= 0 {
		return
	}
	limit := now.Add(-time.Duration(f.KeepMillis) * time.Millisecond)
	n := sort.Search(len(p.records), func(i int) bool { return !p.records[i].at.Before(limit) })
	p.trim(p.first() + int64(n))
}

// page returns the body of the answer to a read.
func (p *partition) page(from int64, limit int) ([]byte, error) {
	if from < p.first() {
		return nil, errors.Wrapf(errTrimmed, "first is %d", p.first())
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(p.end))
	body = binary.BigEndian.AppendUint64(body, uint64(p.first()))
	for i := from - p.first(); i < int64(len(p.records)); i++ {
		data := p.records[i].data
		if len(body) > pageHead && len(body)+len(data) > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(data)))
		body = append(body, data...)
	}
	return body, nil
}

// newest returns the newest records of the keys behind one.
func (p *partition) newest(after string) newestPage {
	page := newestPage{Items: []newestItem{}, End: p.end}
	names := make([]string, 0, len(p.keys))
	for key := range p.keys {
		if key > after {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	size := 0
	for i, key := range names {
		r := p.keys[key]
		if size += len(r.data); i == listedKeys || (i > 0 && size > listedBytes) {
			page.More = true
			break
		}
		page.Items = append(page.Items, newestItem{Key: key, Value: r.data[1+len(key):], Offset: r.offset})
	}
	return page
}
