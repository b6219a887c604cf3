package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestTableTravelsAsItIs records streams again and again over some periods of Retention, of
// either version: a host that is told all knows what the first one knows.
func TestTableTravelsAsItIs(t *testing.T) {
	const streams = 6
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("All and Merge keep every version", prop.ForAll(func(steps []int) string {
		from, now := NewTable(), start
		for _, step := range steps {
			now = now.Add(time.Duration(step%7) * time.Second)
			request, version := fmt.Sprint("r", step%streams), fmt.Sprint("v", step/streams%2)
			if step/12%3 == 0 {
				from.Record(now, request, version)
				continue
			}
			told := make(Streams)
			told.Add(request, version)
			from.Merge(now, "other", Batch{Streams: told})
		}
		to := NewTable()
		for _, batch := range from.All(now) {
			for _, part := range batch.Split(2) {
				to.Merge(now, "from", part)
			}
		}
		for i := range streams {
			request := fmt.Sprint("r", i)
			want, known := from.Lookup(now, request)
			if got, told := to.Lookup(now, request); got.Version != want.Version || told != known {
				return fmt.Sprintf("%s is of %q (known: %t), another host was told %q (%t)", request, want.Version, known, got.Version, told)
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 35))))
	properties.TestingRun(t)
}
