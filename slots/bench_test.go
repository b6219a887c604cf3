package slots

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/origin"
)

// BenchmarkReplicateStream records one stream at the scheduler and at a standby, with its part of
// a batch of fifty, and reports the bytes that the batch takes for each.
func BenchmarkReplicateStream(b *testing.B) {
	const batch = 50
	from, to := origin.NewTable(), origin.NewTable()
	now, bytes := time.Now(), 0
	unsent := make(origin.Streams)
	for i := range b.N {
		request := fmt.Sprintf("%016x", i)
		from.Record(now, request, "v1.1")
		unsent.Add(request, "v1.1")
		if i%batch != batch-1 {
			continue
		}
		line, err := json.Marshal(SchedulerMessage{Streams: unsent, FirstEvents: true})
		if err != nil {
			b.Fatal(err)
		}
		var m SchedulerMessage
		if err := json.Unmarshal(line, &m); err != nil {
			b.Fatal(err)
		}
		to.Merge(now, "from", origin.Batch{Streams: m.Streams})
		bytes += len(line) + 1
		unsent = make(origin.Streams)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/stream")
}
