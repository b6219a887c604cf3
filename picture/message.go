package picture

import "github.com/peridotmount/peridotmount/platform"

// Path is the URL path of a topic's cached view.
const Path = "/picture"

// response is the cached view of a topic.
type response struct {
	// Records are in offset order.
	Records []record `json:"records"`
}

// record is a record of a keyed topic.
type record struct {
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
	Value  []byte `json:"value"`
}

func encode(records []platform.KeyedRecord) response {
	out := response{Records: make([]record, len(records))}
	for i := range records {
		out.Records[i] = record{Key: records[i].Key, Offset: records[i].Offset, Value: records[i].Value}
	}
	return out
}

func (resp *response) decode() []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, len(resp.Records))
	for i, r := range resp.Records {
		out[i] = platform.KeyedRecord{Key: r.Key, Offset: r.Offset, Value: r.Value}
	}
	return out
}

// newestOffset returns the offset of the newest record, -1 if there is none.
func newestOffset(records []platform.KeyedRecord) int64 {
	if len(records) == 0 {
		return -1
	}
	return records[len(records)-1].Offset
}
