package ledger

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/lease"
)

// stateImage is the serialized form of a State in a snapshot.
type stateImage struct {
	Lease          lease.State   `json:"lease"`
	Now            int64         `json:"now_ms"`
	First          int64         `json:"first_ms"`
	SweptAt        int64         `json:"swept_ms"`
	SnapshotOffset int64         `json:"snapshot_first"`
	TrimOffset     int64         `json:"carried"`
	Ends           []SnapshotEnd `json:"ends"`
	WritingID      string        `json:"writing_id"`
	WritingFirst   int64         `json:"writing_first"`
	WritingChunks  int           `json:"writing_chunks"`
	Files          []fileImage   `json:"files"`
	Jobs           []jobImage    `json:"jobs"`
	Intakes        []intakeImage `json:"intakes"`
	Requests       []Request     `json:"requests"`
}

type fileImage struct {
	ID        string     `json:"id"`
	Commit    FileCommit `json:"commit"`
	Committed bool       `json:"committed"`
	Places    []Place    `json:"places"`
	Changed   int64      `json:"touched_ms"`
}

type jobImage struct {
	Commit JobCommit `json:"commit"`
	Status JobStatus `json:"status"`
	Ended  int64     `json:"ended_ms"`
	Chunks []byte    `json:"chunks"`
	Items  []byte    `json:"items"`
}

type intakeImage struct {
	Job       string `json:"job"`
	Attempt   string `json:"attempt"`
	ItemCount int    `json:"loaded"`
	Chunks    []byte `json:"chunks"`
}

// Encode serializes the state; equal states give equal bytes.
func (s *State) Encode() []byte {
	tracker := &s.snapshots
	image := stateImage{
		Lease: s.Lease, Now: s.Now, First: s.firstMillis, SweptAt: s.sweptMillis,
		SnapshotOffset: tracker.newestOffset, TrimOffset: tracker.trimOffset, Ends: tracker.ends,
		WritingID: tracker.writingID, WritingFirst: tracker.writingFirst, WritingChunks: tracker.writingChunks,
	}
	for id, f := range s.files {
		image.Files = append(image.Files, fileImage{id, f.FileCommit, f.Committed, f.Places, f.changedMillis})
	}
	for _, j := range s.jobs {
		image.Jobs = append(image.Jobs, jobImage{j.JobCommit, j.Status, j.endedMillis, packChunks(j.chunks), packItems(j.items)})
	}
	for key, in := range s.intakes {
		image.Intakes = append(image.Intakes, intakeImage{key.job, key.attempt, in.itemCount, packChunks(in.chunks)})
	}
	for _, r := range s.requests {
		image.Requests = append(image.Requests, *r)
	}
	image.sort()
	// Marshal cannot fail: the image holds only strings, numbers and bytes.
	data, _ := json.Marshal(&image)
	return data
}

func (i *stateImage) sort() {
	sort.Slice(i.Files, func(a, b int) bool { return i.Files[a].ID < i.Files[b].ID })
	sort.Slice(i.Jobs, func(a, b int) bool { return i.Jobs[a].Commit.Job < i.Jobs[b].Commit.Job })
	sort.Slice(i.Requests, func(a, b int) bool { return i.Requests[a].ID < i.Requests[b].ID })
	sort.Slice(i.Intakes, func(a, b int) bool {
		x, y := &i.Intakes[a], &i.Intakes[b]
		return x.Job < y.Job || (x.Job == y.Job && x.Attempt < y.Attempt)
	})
}

// DecodeState restores a state from the output of Encode. Its errors wrap
// ErrSnapshot.
func DecodeState(data []byte) (*State, error) {
	var image stateImage
	if err := json.Unmarshal(data, &image); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	s := NewState()
	s.Lease, s.Now, s.firstMillis, s.sweptMillis = image.Lease, image.Now, image.First, image.SweptAt
	s.snapshots = snapshotTracker{
		writingID: image.WritingID, writingFirst: image.WritingFirst, writingChunks: image.WritingChunks,
		newestOffset: image.SnapshotOffset, trimOffset: image.TrimOffset, ends: image.Ends,
	}
	for _, f := range image.Files {
		s.files[f.ID] = &File{FileCommit: f.Commit, Committed: f.Committed, Places: f.Places, changedMillis: f.Changed}
	}
	for i := range image.Jobs {
		if err := s.restoreJob(&image.Jobs[i]); err != nil {
			return nil, err
		}
	}
	for _, in := range image.Intakes {
		chunks, err := unpackChunks(in.Chunks)
		if err != nil {
			return nil, err
		}
		s.intakes[intakeKey{in.Job, in.Attempt}] = &intake{chunks: chunks, itemCount: in.ItemCount}
	}
	for i := range image.Requests {
		s.requests[image.Requests[i].ID] = &image.Requests[i]
	}
	return s, nil
}

// chunksOrdered reports whether there are chunks, the first one begins at item 0, and
// their first items are strictly ascending and below count.
func chunksOrdered(chunks []chunkRef, count int) bool {
	next := 0
	for i, c := range chunks {
		if c.first < next || c.first >= count || (i == 0 && c.first != 0) {
			return false
		}
		next = c.first + 1
	}
	return len(chunks) > 0
}

func (s *State) restoreJob(image *jobImage) error {
	chunks, err := unpackChunks(image.Chunks)
	if err != nil {
		return err
	}
	items, err := unpackItems(image.Items)
	if err != nil {
		return err
	}
	if len(items) != image.Commit.Count || !chunksOrdered(chunks, len(items)) {
		return errors.Wrapf(ErrSnapshot, "items or chunks of job %q do not match its item count", image.Commit.Job)
	}
	j := &Job{JobCommit: image.Commit, Status: image.Status, endedMillis: image.Ended, chunks: chunks, items: items}
	for i := range items {
		switch items[i].state {
		case ItemCompleted:
			j.Completed++
		case ItemFailed:
			j.Failed++
		}
	}
	s.jobs[j.Job] = j
	if j.Status == JobRunning {
		s.running[j.Job] = j
		s.openItems += j.Open()
	}
	return nil
}
