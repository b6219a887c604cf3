package e2e

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// daemonNotice is the default of host.drain_notice.
const daemonNotice = 2 * time.Second

// secureListener returns settings that have the callers' listener speak TLS, and the
// configuration of a client that trusts it.
func secureListener(t *testing.T) (string, *tls.Config) {
	t.Helper()
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	issued, err := authority.Issue(net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	chain, key := filepath.Join(dir, "chain.pem"), filepath.Join(dir, "key.pem")
	for name, data := range map[string][]byte{chain: issued.Certificate, key: issued.Key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.PEM)
	return fmt.Sprintf("[tls]\ncallers_certificate = %s\ncallers_key = %s\n", chain, key),
		&tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
}

// stoppingDaemon is a fleet with one daemon, in clear text or over TLS.
type stoppingDaemon struct {
	*fleet
	client *tls.Config
}

func newStoppingDaemon(t *testing.T, secured bool, o fleetOptions) *stoppingDaemon {
	t.Helper()
	d := &stoppingDaemon{}
	if secured {
		var tlsSettings string
		tlsSettings, d.client = secureListener(t)
		o.settings += tlsSettings
	}
	o.daemons = 1
	d.fleet = newFleet(t, o)
	return d
}

// connect opens a caller's connection; its TLS handshake is done.
func (d *stoppingDaemon) connect() *rawCaller {
	d.t.Helper()
	_, address, _ := strings.Cut(d.daemons[0].callers, "//")
	c, err := net.Dial("tcp", address)
	if err != nil {
		d.t.Fatal(err)
	}
	if d.client != nil {
		secured := tls.Client(c, d.client)
		if err := secured.Handshake(); err != nil {
			d.t.Fatal(err)
		}
		c = secured
	}
	d.t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{Conn: c, t: d.t, answers: bufio.NewReader(c)}
}

// connectKept opens a connection that got an answer before.
func (d *stoppingDaemon) connectKept() *rawCaller {
	d.t.Helper()
	c := d.connect()
	c.send(chatRequest("first", 1, false))
	if resp, err := c.answer(); err != nil || resp.StatusCode != http.StatusOK {
		d.t.Fatalf("first request: %v, %v", resp, err)
	}
	return c
}

// hold keeps a stream going for some seconds.
func (d *stoppingDaemon) hold() {
	d.t.Helper()
	c := d.connect()
	c.send(chatRequest("held", 32, true))
	if _, err := http.ReadResponse(c.answers, nil); err != nil {
		d.t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, c.answers) }()
}

// chatRequest is a completion, as it is sent.
func chatRequest(prompt string, tokens int, stream bool) string {
	body := fmt.Sprintf(`{"model":"towel-writer","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, tokens, stream, prompt)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		shopKey, len(body), body)
}

// eachListener runs a test in clear text and over TLS, on new and on kept connections.
func eachListener(t *testing.T, run func(t *testing.T, secured, kept bool)) {
	for _, secured := range []bool{false, true} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("TLS=%t,kept=%t", secured, kept), func(t *testing.T) {
				t.Parallel()
				run(t, secured, kept)
			})
		}
	}
}

func (d *stoppingDaemon) caller(kept bool) *rawCaller {
	if kept {
		return d.connectKept()
	}
	return d.connect()
}

// TestDaemonAnswersRequestReadDuringItsShutdown sends a request whose head is in the middle when
// the daemon begins to close connections.
func TestDaemonAnswersRequestReadDuringItsShutdown(t *testing.T) {
	eachListener(t, func(t *testing.T, secured, kept bool) {
		f := newStoppingDaemon(t, secured, fleetOptions{engines: 1, engineArgs: []string{"--step", "250ms"}})
		f.hold()
		c := f.caller(kept)
		begun := time.Now()
		go f.daemons[0].stop()
		request := chatRequest("late", 1, false)
		time.Sleep(time.Until(begun.Add(daemonNotice - 300*time.Millisecond)))
		c.send(request[:60])
		time.Sleep(time.Until(begun.Add(daemonNotice + 500*time.Millisecond)))
		c.send(request[60:])
		if _, err := c.answer(); err != nil {
			t.Errorf("no answer: %v", err)
		}
		<-f.daemons[0].done
	})
}

// TestDaemonAnswersRequestsBesideAFrozenShutdown freezes a daemon over the moment at which it
// begins to close connections: it wakes with requests in its sockets.
func TestDaemonAnswersRequestsBesideAFrozenShutdown(t *testing.T) {
	eachListener(t, func(t *testing.T, secured, kept bool) {
		f := newStoppingDaemon(t, secured, fleetOptions{engines: 1, engineArgs: []string{"--step", "250ms"}})
		f.hold()
		d := f.daemons[0]
		var callers []*rawCaller
		for range 16 {
			callers = append(callers, f.caller(kept))
		}
		begun := time.Now()
		go d.stop()
		time.Sleep(time.Until(begun.Add(daemonNotice - 300*time.Millisecond)))
		d.freeze()
		for i, c := range callers {
			c.send(chatRequest(fmt.Sprint("frozen-", i), 1, false))
		}
		time.Sleep(time.Until(begun.Add(daemonNotice + 100*time.Millisecond)))
		d.thaw()
		for i, c := range callers {
			if _, err := c.answer(); err != nil {
				t.Errorf("caller %d has no answer: %v", i, err)
			}
		}
		<-d.done
	})
}

// TestDaemonEndsBesideUnusedConnections has a connection without any request, whose handshake is
// done, and a kept one: they don't hold a shutdown up to its end.
func TestDaemonEndsBesideUnusedConnections(t *testing.T) {
	for _, secured := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS=%t", secured), func(t *testing.T) {
			t.Parallel()
			f := newStoppingDaemon(t, secured, fleetOptions{engines: 1})
			f.connect()
			f.connectKept()
			ctx, stop := context.WithTimeout(context.Background(), daemonNotice+10*time.Second)
			defer stop()
			go f.daemons[0].stop()
			select {
			case <-f.daemons[0].done:
			case <-ctx.Done():
				t.Error("the daemon waits for connections without requests")
			}
		})
	}
}

// TestDaemonAnswersAllRequestsOfItsShutdown shuts a daemon down whose endpoints don't end the
// requests that they have: these are answered that they may have run. Requests that come late
// are refused, whose bodies don't end too. A second signal changes nothing.
func TestDaemonAnswersAllRequestsOfItsShutdown(t *testing.T) {
	for _, secured := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS=%t", secured), func(t *testing.T) {
			t.Parallel()
			f := newStoppingDaemon(t, secured, fleetOptions{
				engines: 1, engineArgs: []string{"--step", "1s"}, settings: "[host]\ndrain_timeout = 4s\n",
			})
			d := f.daemons[0]
			const tokens = 60
			whole, keyed, late, half, stream := f.connect(), f.connect(), f.connectKept(), f.connect(), f.connect()
			whole.send(chatRequest("whole", tokens, false))
			keyed.send(withHeader(chatRequest("keyed", tokens, false), "Idempotency-Key: k"))
			stream.send(chatRequest("stream", tokens, true))
			begun, err := http.ReadResponse(stream.answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			request := chatRequest("half", tokens, false)
			half.send(request[:len(request)-1])
			at := time.Now()
			d.signal(syscall.SIGTERM)
			time.Sleep(time.Until(at.Add(daemonNotice / 2)))
			d.signal(syscall.SIGTERM)
			// The connection has no request at the end of the notice: its first piece comes before.
			lateRequest := chatRequest("late", 1, false)
			time.Sleep(time.Until(at.Add(daemonNotice - 300*time.Millisecond)))
			late.send(lateRequest[:60])
			time.Sleep(time.Until(at.Add(daemonNotice + 300*time.Millisecond)))
			late.send(lateRequest[60:])
			late.expect("late", http.StatusServiceUnavailable, "not-run", "1")
			half.expect("half", http.StatusServiceUnavailable, "not-run", "1")
			whole.expect("whole", http.StatusBadGateway, "unknown", "")
			keyed.expect("keyed", http.StatusBadGateway, "unknown", "")
			body, err := io.ReadAll(begun.Body)
			if err != nil || !strings.Contains(string(body), `"code":"interrupted"`) || begun.Trailer.Get("Peridotmount-Run-State") != "unknown" {
				t.Errorf("stream: %s, trailer %v, error %v", body, begun.Trailer, err)
			}
			<-d.done
			if code := d.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// withHeader returns a request with one more header.
func withHeader(request, header string) string {
	return strings.Replace(request, "\r\n", "\r\n"+header+"\r\n", 1)
}

// expect reads an answer and fails the test if it is another.
func (c *rawCaller) expect(name string, status int, runState, retryAfter string) {
	c.t.Helper()
	resp, err := c.answer()
	if err != nil {
		c.t.Errorf("%s: no answer: %v", name, err)
		return
	}
	if state := resp.Header.Get("Peridotmount-Run-State"); resp.StatusCode != status || state != runState || resp.Header.Get("Retry-After") != retryAfter {
		c.t.Errorf("%s: status %d, run state %q, Retry-After %q", name, resp.StatusCode, state, resp.Header.Get("Retry-After"))
	}
}

// TestStoppedHelperLeavesNoCallerWithoutAnswer shuts a daemon down that makes calls for a host
// that reaches no endpoint, and cuts them at its end: streams go on through another one, and
// calls that may run only once are answered that they may have run.
func TestStoppedHelperLeavesNoCallerWithoutAnswer(t *testing.T) {
	const calls, tokens = 8, 40
	f := newFleet(t, fleetOptions{daemons: 2, engines: 4, engineArgs: []string{"--step", "500ms"}, settings: "[host]\ndrain_timeout = 2s\n"})
	links := newHostLinks(t, f.storeURL)
	cutOff := f.addCutOff("cut-off", links)
	f.awaitReady()
	f.awaitAgreement()
	links.cut(refused)
	eventually(t, "the host finds that it reaches no endpoint", func() bool {
		_, _ = streamed(cutOff, "early", 1, func() {})
		return f.statusOf(cutOff).Stranded
	})
	f.call(http.MethodPut, f.invoices().host.Address+"/standin/faults", standin.PlainFaults{DelayMillis: 20000}, nil)
	var answers sync.WaitGroup
	for i := range calls {
		answers.Go(func() {
			message := fmt.Sprint("stream ", i)
			if got, err := streamed(cutOff, message, tokens, func() {}); err != nil || got != expected(message, tokens) {
				t.Errorf("%s: %d bytes of %d, %v", message, len(got), len(expected(message, tokens)), err)
			}
		})
		answers.Go(func() {
			r := postInvoice(cutOff, fmt.Sprint("invoice ", i))
			if served := r.code == http.StatusOK && r.state == "completed"; !served && (r.code != http.StatusBadGateway || r.state != "unknown") {
				t.Errorf("invoice %d: %+v", i, r)
			}
		})
	}
	helper := f.daemons[0]
	eventually(t, "helpers make all calls", func() bool { return f.metric("peridotmount_detour_serving") >= 2*calls })
	helper.stop()
	if code := helper.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if data, err := os.ReadFile(helper.log.Name()); err != nil || !strings.Contains(string(data), "connections_cut") {
		t.Errorf("no call was cut: %v", err)
	}
	answers.Wait()
}

// TestBatchBesideADaemonsEndIsAnswered shuts a daemon down while the store is silent and the
// ledger has a new batch to record: its caller is told that it may have been accepted.
func TestBatchBesideADaemonsEndIsAnswered(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 1, engines: 1, settings: "[host]\ndrain_notice = 0s\ndrain_timeout = 1s\n"})
	d := f.daemons[0]
	first := submit(t, d, batchFile(1), "first")
	f.storeFaults(standin.StoreFaults{Outage: standin.OutageSilent})
	time.AfterFunc(200*time.Millisecond, func() { d.signal(syscall.SIGTERM) })
	resp, text := d.post(t, "/v1/batches", wholesaleKey, "application/json", strings.NewReader(fmt.Sprintf(
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h","metadata":{"job_name":"second"}}`, first.InputFileID)))
	if state := resp.Header.Get("Peridotmount-Run-State"); resp.StatusCode < http.StatusInternalServerError || state != "unknown" {
		t.Errorf("status %d, run state %q: %s", resp.StatusCode, state, text)
	}
	t.Logf("status %d: %s", resp.StatusCode, text)
	<-d.done
}
