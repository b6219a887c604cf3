package slots

import (
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
)

// TestLogTellsHowTheVersionOfAStreamIsKnown takes a stream up of which a host told the scheduler.
func TestLogTellsHowTheVersionOfAStreamIsKnown(t *testing.T) {
	known, directory, lines := newKnownOrigins(), newFakeDirectory(), &lockedBuffer{}
	directory.set(peers.Host{Name: "first", Incarnation: "i"})
	options := originOptions("first", known, directory)
	options.Logger = log.NewJSONLogger(lines)
	c, _ := runOriginHostWith(t, options)
	streams := make(origin.Streams)
	streams.Add("began", "v2")
	known.Merge("other", origin.Batch{Streams: streams})
	if _, err := begin(t, c, "goes on", "began"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"event":"stream_version"`, `"request":"goes on"`, `"resumes":"began"`, `"version":"v2"`, `"source":"told"`, `"from":"other"`, `"age_ms":`} {
		if !strings.Contains(lines.text(), want) {
			t.Errorf("no %s in %s", want, lines.text())
		}
	}
}
