package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/fleet"
)

// ErrWrong means that an answer is not the one that the stand-ins give.
var ErrWrong = errors.New("wrong answer")

// ErrTooSmall means that the fleet lacks processes that the demonstration uses.
var ErrTooSmall = errors.New("fleet is too small")

// hostsNeeded is the number of hosts that the demonstration calls.
const hostsNeeded = 3

// Runner demonstrates one fleet.
type Runner struct {
	fleet *fleet.File
	work  *work
	hosts []fleet.Process
	http  *http.Client
	out   io.Writer
}

// New returns a Runner for f that tells its progress to out.
func New(f *fleet.File, out io.Writer) (*Runner, error) {
	work, err := workFor(f.Size)
	if err != nil {
		return nil, err
	}
	hosts := f.Role(fleet.RoleSystem)
	if len(hosts) < hostsNeeded {
		return nil, errors.Wrapf(ErrTooSmall, "%d hosts, %d needed", len(hosts), hostsNeeded)
	}
	client, err := f.Client(0)
	if err != nil {
		return nil, err
	}
	return &Runner{fleet: f, work: work, hosts: hosts, http: client, out: out}, nil
}

// step is one part of the demonstration.
type step struct {
	title string
	run   func(context.Context) error
}

// Run does every step and returns the first failure: ErrWrong, or an error of
// the transport.
func (r *Runner) Run(ctx context.Context) error {
	var request string
	steps := []step{
		{"a streamed answer through " + r.hosts[0].Name, func(ctx context.Context) (err error) {
			request, err = r.stream(ctx)
			return err
		}},
		{"a call to " + r.work.plainService + " through " + r.hosts[1].Name, r.plain},
		{"a batch taken by " + r.hosts[0].Name + " and read from " + r.hosts[2].Name, r.batch},
		{"the time line of the streamed request", func(ctx context.Context) error {
			return r.timeline(ctx, request)
		}},
	}
	for i, s := range steps {
		r.say("[%d/%d] %s", i+1, len(steps), s.title)
		start := time.Now()
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.title)
		}
		r.say("      right, after %s", time.Since(start).Round(time.Millisecond))
	}
	return nil
}

func (r *Runner) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}
