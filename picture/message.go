package picture

import "github.com/peridotmount/peridotmount/platform"

// Path is the path that the picture of a topic is read at.
const Path = "/picture"

// answer is the picture of a topic.
type answer struct {
	// Records are in offset order.
	Records []record `json:"records"`
}

// record is a record of a keyed topic.
type record struct {
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
	Value  []byte `json:"value"`
}

func encode(records []platform.KeyedRecord) answer {
	out := answer{Records: make([]record, len(records))}
	for i := range records {
		out.Records[i] = record{Key: records[i].Key, Offset: records[i].Offset, Value: records[i].Value}
	}
	return out
}

func (a *answer) decode() []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, len(a.Records))
	for i, r := range a.Records {
		out[i] = platform.KeyedRecord{Key: r.Key, Offset: r.Offset, Value: r.Value}
	}
	return out
}

// newest returns the offset of the newest record, -1 if there is none.
func newest(records []platform.KeyedRecord) int64 {
	if len(records) == 0 {
		return -1
	}
	return records[len(records)-1].Offset
}
