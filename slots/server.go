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
)

// SessionPath is the HTTP path at which sessions are opened.
const SessionPath = "/scheduler/session"

// maxMessageBytes bounds a message: a host announces at most a few hundred slots in use.
const maxMessageBytes = 1 << 20

// Server accepts the sessions of other hosts.
type Server struct {
	localScheduler *LocalScheduler
	token          string
	logger         log.Logger
}

// NewServer returns a Server that requires the bearer token.
func NewServer(local *LocalScheduler, token string, logger log.Logger) *Server {
	return &Server{localScheduler: local, token: token, logger: logger}
}

// ServeHTTP implements http.Handler. The bodies of the request and of the response are
// streams of messages.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		// Close the connection, so that the response doesn't wait for the body, which has
		// no end.
		w.Header().Set("Connection", "close")
		http.Error(w, "bearer token is missing or wrong", http.StatusUnauthorized)
		return
	}
	// The response header is sent before the hello arrives, so that a host can probe for
	// a scheduler without leaving its current one.
	w.WriteHeader(http.StatusOK)
	if err := control.Flush(); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	outbox := ring.New[SchedulerMessage](outboxCapacity)
	writerDone := make(chan struct{})
	// Heartbeats begin before the hello is read: a large one from a slow host, or many at
	// once after an election, may take longer than schedulerTimeout.
	go func() {
		defer close(writerDone)
		defer cancel()
		// The reader blocks until the host sends; it must end when the writer has ended.
		defer func() { _ = control.SetReadDeadline(time.Now()) }()
		writeMessages(ctx, w, control, outbox)
	}()
	stamps := newStamper()
	leave := s.serveSession(control, r, func(m SchedulerMessage) {
		if m.hasAges() {
			m.Stamp = stamps.now()
		}
		if outbox.Offer(m) != nil {
			cancel()
		}
	})
	cancel()
	<-writerDone
	leave()
}

// serveSession joins a host to the scheduler and passes on its messages until the session
// ends. It returns the function that ends the host's membership.
func (s *Server) serveSession(control *http.ResponseController, r *http.Request, deliver Sink) (leave func()) {
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, maxMessageBytes)
	_ = control.SetReadDeadline(time.Now().Add(hostTimeout))
	var message HostMessage
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &message) != nil || message.Hello == nil {
		_ = level.Info(s.logger).Log("event", "session_without_hello", "peer", r.RemoteAddr)
		return func() {}
	}
	host := message.Hello.Host
	var late delay
	late.of(clock.Now(), message.Stamp)
	session := s.localScheduler.Join(message.Hello, deliver)
	end := s.read(control, lines, host, &late)
	return func() { s.localScheduler.Leave(host, session, end) }
}

// read passes the messages of the host to the scheduler until the session ends, and
// returns how it ended.
func (s *Server) read(control *http.ResponseController, lines *bufio.Scanner, host string, late *delay) sessionEnd {
	end := sessionEnd{cause: closed, lastSeen: clock.Now()}
	for lines.Scan() {
		end.lastSeen = clock.Now()
		_ = control.SetReadDeadline(time.Now().Add(hostTimeout))
		var m HostMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			_ = level.Warn(s.logger).Log("event", "session_message_unreadable", "peer", host, "err", err)
			end.reason = "malformed message"
			return end
		}
		m.addDelay(late.of(end.lastSeen, m.Stamp))
		s.localScheduler.Handle(host, &m)
	}
	end.reason = "closed by the host"
	if err := lines.Err(); err != nil {
		end.reason = err.Error()
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			end.cause = timedOut
		}
	}
	return end
}

// writeMessages writes the messages of the outbox, and heartbeats between them.
func writeMessages(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, outbox *ring.Ring[SchedulerMessage]) {
	heartbeat := time.NewTicker(schedulerHeartbeat)
	defer heartbeat.Stop()
	encoder := json.NewEncoder(w)
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case m := <-outbox.C():
			err = encoder.Encode(m)
			for n := outbox.Len(); n > 0 && err == nil; n-- {
				err = encoder.Encode(<-outbox.C())
			}
		case <-heartbeat.C:
			err = encoder.Encode(SchedulerMessage{})
		}
		if err != nil || control.Flush() != nil {
			return
		}
	}
}
