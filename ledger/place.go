package ledger

// Place is the position of content in the stream: the offset of a record and the
// index of an entry in it. One record may hold two entries for the same item, of
// which one has no effect, so the offset alone does not identify the content.
type Place int64

// entryIndexBits is the number of low bits of a Place that hold the entry index.
const entryIndexBits = 16

// maxRecordEntries is the maximum number of entries in one record.
const maxRecordEntries = 1 << entryIndexBits

// NewPlace returns the place of an entry, counted from 0, in the record at offset.
func NewPlace(offset int64, entry int) Place {
	return Place(offset<<entryIndexBits | int64(entry))
}

// Offset returns the log offset of the record.
func (p Place) Offset() int64 {
	return int64(p) >> entryIndexBits
}

// Entry returns the index of the entry in the record.
func (p Place) Entry() int {
	return int(p & (maxRecordEntries - 1))
}

// EntryIn returns the entry of r that the place refers to, where r is the record at
// the place's offset. It returns nil if r is nil or has no such entry.
func (p Place) EntryIn(r *Record) *Entry {
	if r == nil || p.Entry() >= len(r.Entries) {
		return nil
	}
	return &r.Entries[p.Entry()]
}
