package batch

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

// payloadStore stores inputs and outputs outside the ledger, at the locations in their
// jobs.Blob. A payload is read only by the hosts that need it, so that the ledger,
// which all hosts follow, stays small.
type payloadStore struct {
	store Store
	cache *payloadCache
}

func newPayloadStore(s Store, capacity int) *payloadStore {
	return &payloadStore{store: s, cache: newPayloadCache(capacity)}
}

// put writes a payload and retries until ctx ends. The key must be unique among
// payloads. The error is ErrNotWritten: a payload that no ledger record refers to
// counts as not written.
func (p *payloadStore) put(ctx context.Context, key string, content []byte) (jobs.Blob, error) {
	blob := jobs.Blob{Bytes: len(content)}
	for n := 0; n*maxAppendBytes < len(content); n++ {
		chunk := content[n*maxAppendBytes : min((n+1)*maxAppendBytes, len(content))]
		segment, orphanKeys, err := p.appendSegment(ctx, key+"/"+strconv.Itoa(n), chunk)
		if err != nil {
			return blob, err
		}
		blob.Segments = append(blob.Segments, segment)
		blob.OrphanKeys = append(blob.OrphanKeys, orphanKeys...)
	}
	p.cache.put(blob.Name(), content)
	return blob, nil
}

// putAll writes several payloads with a single append that is not retried. The keys
// must be unique, and the contents together must fit into one append. It returns the
// locations of the payloads. On an error it returns the keys that may nevertheless be
// in the store.
func (p *payloadStore) putAll(ctx context.Context, keys []string, contents [][]byte) ([]jobs.Blob, []string, error) {
	blobs := make([]jobs.Blob, len(contents))
	var writtenKeys []string
	var records [][]byte
	for i, content := range contents {
		recordKeys, chunks := splitRecords(keys[i]+"/0"+attemptSeparator+"0", content)
		blobs[i] = jobs.Blob{Bytes: len(content), Segments: []jobs.Segment{{Offset: int64(len(records)), Keys: recordKeys}}}
		writtenKeys = append(writtenKeys, recordKeys...)
		records = append(records, chunks...)
	}
	offset, err := p.store.Append(ctx, platform.TopicPayloads, records)
	if err != nil {
		if !mayBeWritten(err) {
			writtenKeys = nil
		}
		return nil, writtenKeys, errors.Wrap(ErrNotWritten, err.Error())
	}
	for i := range blobs {
		blobs[i].Segments[0].Offset += offset
	}
	return blobs, nil, nil
}

// appendSegment writes the records of one append, with retries. It also returns the
// keys of failed attempts that may nevertheless be in the store.
func (p *payloadStore) appendSegment(ctx context.Context, key string, content []byte) (jobs.Segment, []string, error) {
	var orphanKeys []string
	retry := newBackoff()
	for attempt := 0; ; attempt++ {
		keys, records := splitRecords(key+attemptSeparator+strconv.Itoa(attempt), content)
		appendContext, cancel := retry.attemptContext(ctx)
		offset, err := p.store.Append(appendContext, platform.TopicPayloads, records)
		cancel()
		switch {
		case err == nil:
			return jobs.Segment{Offset: offset, Keys: keys}, orphanKeys, nil
		case errors.Is(err, platform.ErrRejected):
			return jobs.Segment{}, nil, errors.Wrap(ErrNotWritten, err.Error())
		case mayBeWritten(err):
			orphanKeys = append(orphanKeys, keys...)
		}
		if !retry.wait(ctx, nil) {
			return jobs.Segment{}, nil, errors.Wrap(ErrNotWritten, err.Error())
		}
	}
}

// splitRecords splits the content of one append into records, and returns their keys
// too.
func splitRecords(key string, content []byte) (keys []string, records [][]byte) {
	for n := 0; n*maxRecordBytes < len(content); n++ {
		k := key + "." + strconv.Itoa(n)
		keys = append(keys, k)
		records = append(records, platform.EncodeKeyed(k, content[n*maxRecordBytes:min((n+1)*maxRecordBytes, len(content))]))
	}
	return keys, records
}

// get returns a payload, from the cache or the store. The error is ErrUnreadable.
func (p *payloadStore) get(ctx context.Context, blob *jobs.Blob) ([]byte, error) {
	if blob.Bytes == 0 {
		return nil, nil
	}
	if content, found := p.cache.get(blob.Name()); found && len(content) == blob.Bytes {
		return content, nil
	}
	ctx, cancel := context.WithTimeout(ctx, payloadReadTimeout)
	defer cancel()
	content := make([]byte, 0, min(blob.Bytes, maxAppendBytes))
	for i := range blob.Segments {
		part, err := p.readSegment(ctx, &blob.Segments[i], min(blob.Bytes-i*maxAppendBytes, maxAppendBytes))
		if err != nil {
			return nil, errors.Wrap(ErrUnreadable, err.Error())
		}
		content = append(content, part...)
	}
	if len(content) != blob.Bytes {
		return nil, errors.Wrapf(ErrUnreadable, "payload %s has %d bytes, not %d", blob.Name(), len(content), blob.Bytes)
	}
	p.cache.put(blob.Name(), content)
	return content, nil
}

// readSegment reads the records of one append, whose content has size bytes. It reads
// by offset, and by key once the store has trimmed the offsets. It resumes after the
// records that an earlier attempt has cached, so that a payload that takes longer than
// one attempt is eventually read.
func (p *payloadStore) readSegment(ctx context.Context, s *jobs.Segment, size int) ([]byte, error) {
	found := p.cachedRecords(s, size)
	if len(found) < len(s.Keys) {
		err := p.readByOffset(ctx, s, size, found)
		if errors.Is(err, platform.ErrTrimmed) {
			err = p.readByKey(ctx, s, found)
		}
		if err != nil {
			return nil, err
		}
	}
	var out []byte
	for _, key := range s.Keys {
		value, ok := found[key]
		if !ok {
			return nil, errors.Errorf("payload record %s is gone", key)
		}
		out = append(out, value...)
	}
	return out, nil
}

// cachedRecords returns the leading records of a segment that are cached, up to the
// first that is not. The key of the first record may also be the name of a whole
// payload, whose size then differs from that of the record.
func (p *payloadStore) cachedRecords(s *jobs.Segment, size int) map[string][]byte {
	found := make(map[string][]byte, len(s.Keys))
	for i, key := range s.Keys {
		value, ok := p.cache.get(key)
		if !ok || len(value) != min(maxRecordBytes, size-i*maxRecordBytes) {
			break
		}
		found[key] = value
	}
	return found
}

func (p *payloadStore) readByOffset(ctx context.Context, s *jobs.Segment, size int, found map[string][]byte) error {
	const noWait = time.Duration(0)
	last := s.Offset + int64(len(s.Keys))
	for i := range len(found) {
		size -= len(found[s.Keys[i]])
	}
	for from := s.Offset + int64(len(found)); from < last; {
		kilobytes := 1 + (size+int(last-from)*maxRecordOverhead)>>10
		page, err := p.store.Read(ctx, platform.TopicPayloads, from, kilobytes, noWait)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return errors.Errorf("payload record at %d is not there", from)
		}
		for _, r := range page.Records {
			k, err := platform.DecodeKeyed(r)
			if err != nil {
				return err
			}
			found[k.Key] = k.Value
			p.cache.put(k.Key, k.Value)
			size -= len(k.Value)
		}
		size = max(size, 0)
		from = page.Next
	}
	return nil
}

func (p *payloadStore) readByKey(ctx context.Context, s *jobs.Segment, found map[string][]byte) error {
	for _, key := range s.Keys {
		if _, ok := found[key]; ok {
			continue
		}
		page, err := p.store.Newest(ctx, platform.TopicPayloads, keyBefore(key))
		if err != nil {
			return err
		}
		for i := range page.Records {
			r := &page.Records[i]
			found[r.Key] = r.Value
			// All records of the page are cached: it is far larger than a payload, and its other
			// records belong to the same job.
			p.cache.put(r.Key, r.Value)
		}
	}
	return nil
}

// keyBefore returns a key that sorts before key, and after all other keys that do.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(rune(key[last]-1)) + "~"
}
