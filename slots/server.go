package slots

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/scheduler"
)

// SessionPath is the path that sessions are opened at.
const SessionPath = "/scheduler/session"

// lineBytes bounds a message: a host announces at most a few hundred slots.
const lineBytes = 1 << 20

// Server takes the sessions of other hosts.
type Server struct {
	duty   *Duty
	token  string
	logger log.Logger
}

// NewServer returns a Server that asks for a bearer token.
func NewServer(d *Duty, token string, logger log.Logger) *Server {
	return &Server{duty: d, token: token, logger: logger}
}

// ServeHTTP implements http.Handler: the request's body and the answer's are
// streams of messages.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		// The answer doesn't wait for the body, which has no end.
		w.Header().Set("Connection", "close")
		http.Error(w, "bearer token is missing or wrong", http.StatusUnauthorized)
		return
	}
	// The head is answered before the hello, so that a host can try whether a
	// scheduler is there without leaving the one it has.
	w.WriteHeader(http.StatusOK)
	if err := control.Flush(); err != nil {
		return
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, lineBytes)
	_ = control.SetReadDeadline(time.Now().Add(hostSilence))
	var first Up
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &first) != nil || first.Hello == nil {
		_ = level.Info(s.logger).Log("event", "session_without_hello", "peer", r.RemoteAddr)
		return
	}
	s.run(r.Context(), w, control, lines, first.Hello)
}

// run serves one session to its end.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, lines *bufio.Scanner, hello *scheduler.Hello) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outbox := ring.New[Down](outboxRing)
	sink := s.duty.Join(hello, func(d Down) {
		if outbox.Offer(d) != nil {
			cancel()
		}
	})
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		// The reader waits for the host; without a writer it must end.
		defer func() { _ = control.SetReadDeadline(time.Now()) }()
		writeDown(ctx, w, control, outbox)
	}()
	end := s.read(control, lines, hello.Host)
	cancel()
	<-written
	s.duty.Leave(hello.Host, sink, end)
}

// read hands the host's messages over until there are no more, and returns how the
// session ended.
func (s *Server) read(control *http.ResponseController, lines *bufio.Scanner, host string) ending {
	end := ending{how: closed, heard: clock.Now()}
	for lines.Scan() {
		end.heard = clock.Now()
		_ = control.SetReadDeadline(time.Now().Add(hostSilence))
		var m Up
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			_ = level.Warn(s.logger).Log("event", "session_message_unreadable", "peer", host, "err", err)
			end.reason = "message can't be read"
			return end
		}
		s.duty.Handle(host, &m)
	}
	end.reason = "closed by the host"
	if err := lines.Err(); err != nil {
		end.reason = err.Error()
		var failure net.Error
		if errors.As(err, &failure) && failure.Timeout() {
			end.how = silent
		}
	}
	return end
}

// writeDown writes messages, and signs of life between them.
func writeDown(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, outbox *ring.Ring[Down]) {
	ping := time.NewTicker(downPing)
	defer ping.Stop()
	encoder := json.NewEncoder(w)
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case d := <-outbox.C():
			err = encoder.Encode(d)
			for n := outbox.Len(); n > 0 && err == nil; n-- {
				err = encoder.Encode(<-outbox.C())
			}
		case <-ping.C:
			err = encoder.Encode(Down{})
		}
		if err != nil || control.Flush() != nil {
			return
		}
	}
}
