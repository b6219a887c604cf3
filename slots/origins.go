package slots

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
)

const (
	// replicateInterval is the time between two replications of the streams that began. What
	// began since is lost if the scheduler and the host of a stream end at the same moment.
	replicateInterval = 50 * time.Millisecond
	// maxStandbys is how many hosts are sent the streams: those that may schedule next. If a
	// third of all hosts is killed, hardly ever all of these are among them.
	maxStandbys = 12
	// maxStreamsPerMessage keeps messages below maxMessageBytes.
	maxStreamsPerMessage = 20_000
)

// Origins tells which software version began a stream. It is safe for concurrent use.
type Origins interface {
	// Version returns what is known of the beginning of the stream of a request, at a service,
	// and whether its version can be known. The stream was asked for at the given time, by package
	// clock.
	Version(service, request string, asked time.Time) (b origin.Beginning, known bool)
	// All returns every stream whose first event this host received, or another one that told it.
	All() []origin.Batch
	// Merge adds streams of which another host told, and returns those that were not known.
	Merge(host string, told origin.Batch) origin.Batch
}

// replication sends the versions of streams to the hosts that may schedule next, while a single
// version serves too: the first endpoint of another one may come at any time. Only the goroutine of
// LocalScheduler.Serve uses it.
type replication struct {
	// self is the name of this host.
	self  string
	known Origins
	// unsent are the streams of which this host learned since the last replication.
	unsent origin.Updates
	// standbys are the sessions of the hosts that were sent all streams.
	standbys map[string]*hostSession
	next     time.Time
}

func newReplication(self string, known Origins) *replication {
	return &replication{self: self, known: known, unsent: make(origin.Updates), standbys: make(map[string]*hostSession)}
}

// merge adds the streams that a host knows.
func (r *replication) merge(host string, told origin.Batch) {
	if host != r.self {
		told = r.known.Merge(host, told)
	}
	r.unsent.Merge(clock.Now(), told)
}

// due reports whether streams are to be replicated.
func (r *replication) due(now time.Time) bool {
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(replicateInterval)
	return true
}

// replicateStreams sends the streams that began to the standbys, and all streams to those that
// are new.
func (l *LocalScheduler) replicateStreams() {
	r := l.origins
	unsent := split(r.unsent.Batches(clock.Now()))
	r.unsent = make(origin.Updates)
	standbys := l.standbys(l.hosts.Hosts())
	var all []origin.Batch
	for name, s := range standbys {
		batches := unsent
		if r.standbys[name] != s {
			if all == nil {
				all = split(r.known.All())
			}
			batches = all
			_ = level.Info(l.logger).Log("event", "streams_replicated", "peer", name, "batches", len(all))
		}
		for _, batch := range batches {
			s.deliver(SchedulerMessage{Streams: batch.Streams, StreamsAge: batch.Age, FirstEvents: true})
		}
	}
	r.standbys = standbys
}

// split splits batches so that each fits into a message.
func split(batches []origin.Batch) []origin.Batch {
	var out []origin.Batch
	for _, b := range batches {
		out = append(out, b.Split(maxStreamsPerMessage)...)
	}
	return out
}

// standbys returns the sessions of the first hosts of the directory's order, but this one.
func (l *LocalScheduler) standbys(hosts []peers.Host) map[string]*hostSession {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]*hostSession, maxStandbys)
	for i := range hosts {
		if s := l.sessions[hosts[i].Name]; s != nil && hosts[i].Name != l.self && len(out) < maxStandbys {
			out[hosts[i].Name] = s
		}
	}
	return out
}

// noOrigins knows no stream, and takes every service for one of a single version.
type noOrigins struct{}

// Version implements Origins.
func (noOrigins) Version(string, string, time.Time) (origin.Beginning, bool) {
	return origin.Beginning{}, true
}

// All implements Origins.
func (noOrigins) All() []origin.Batch { return nil }

// Merge implements Origins.
func (noOrigins) Merge(string, origin.Batch) origin.Batch { return origin.Batch{} }
