package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// unreadClients never read; the host has unreadMemory and unreadDescriptors.
	unreadClients     = 200
	unreadMemory      = 144 << 20
	unreadDescriptors = 3075
	unreadEndpoints   = 26
	// unreadBytes bounds what an endpoint sends on one connection, unreadTime is how long the clients stay.
	unreadBytes = 8 << 20
	unreadTime  = 6 * time.Second
)

// TestRoutesUnreadResponses guards against a host that runs out of memory as its callers don't read:
// 200 clients ask for long responses and streams, and read nothing. The host must live within its memory
// and descriptors, and answer an ordinary request when they have gone.
func TestRoutesUnreadResponses(t *testing.T) {
	f := newRoutedFleet(t, 1)
	f.limitHost(unreadMemory, unreadDescriptors)
	g := f.gateways[0]
	f.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(`{"version":2,"routes":[
 {"name":"check","host":"ficu95.example","path_prefix":"/check/","kind":"safe","timeout_ms":20000,"target_latency_ms":1000,"service":"plain","max_attempts":2},
 {"name":"long","host":"ficu95.example","path_prefix":"/long-plain/","kind":"safe","timeout_ms":20000,"target_latency_ms":15000,"service":"long-plain","max_attempts":2},
 {"name":"streams","host":"ficu95.example","path_prefix":"/long-engines/","kind":"streaming","timeout_ms":20000,"target_latency_ms":15000,
  "service":"long-engines","max_attempts":2,"resumable":true,"gap_aim_ms":300}],
 "services":[{"name":"plain","max_conns":100},{"name":"long-plain","max_conns":100},
  {"name":"long-engines","max_conns":200,"engine":{"slots":8,"kv_capacity":100000,"stride":6}}],
 "limits":{"max_body_bytes":4194304}}`))
	eventually(t, "the new routes", func() bool { return g.statusAt("/long-plain/x", "none") == http.StatusServiceUnavailable })
	forms := endlessForms()
	// Events without ids: those of the same id end a stream.
	unnumbered := forms["events"]
	unnumbered.Repeat = "data: x\n\n"
	for name, form := range map[string]rawhttp.EndlessForm{"long-plain": forms["body"], "long-engines": unnumbered} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			var endpoints []*rawhttp.Endless
			for i := range unreadEndpoints {
				e, err := rawhttp.StartEndless(soundForm, unreadBytes)
				if err != nil {
					t.Fatal(err)
				}
				defer e.Close()
				endpoints = append(endpoints, e)
				id := fmt.Sprintf("%s-%d", name, i)
				f.store.Put(platform.TopicEndpoints.Name, id, fmt.Appendf(nil,
					`{"service":%q,"address":%q,"zone":"sk-central-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, name, e.Address()))
				defer f.store.Put(platform.TopicEndpoints.Name, id, nil)
			}
			f.renew()
			tries := 0
			eventually(t, "endpoints of "+name, func() bool {
				tries++
				return g.statusAt("/"+name+"/x", fmt.Sprintf("ready-%s-%d", name, tries)) == http.StatusOK
			})
			for _, e := range endpoints {
				e.SetForm(form)
			}
			playUnread(t, g, name)
			sent := int64(0)
			for _, e := range endpoints {
				sent += e.Sent()
			}
			t.Logf("endpoints sent %d MB", sent>>20)
			if sent < unreadClients*rawUnreadBytes {
				t.Errorf("the clients were sent %d bytes", sent)
			}
		})
	}
}

// rawUnreadBytes is what each client has at least been sent, by the endpoints, on average.
const rawUnreadBytes = 16 << 10

// playUnread has clients that never read, and checks the host.
func playUnread(t *testing.T, g *gateway, name string) {
	t.Helper()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range unreadClients {
		group.Go(func() {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.callers, "http://"))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			if _, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nContent-Length: 0\r\n\r\n", name, routedHost, name, n); err != nil {
				t.Error(err)
			}
			<-stop
			// What the host had left to say is of no interest.
			_ = c.SetReadDeadline(time.Now())
			_, _ = io.Copy(io.Discard, c)
		})
	}
	descriptors := 0
	for ends := time.Now().Add(unreadTime); time.Now().Before(ends); time.Sleep(50 * time.Millisecond) {
		descriptors = max(descriptors, g.openDescriptors(t))
	}
	atEnd := g.openDescriptors(t)
	close(stop)
	group.Wait()
	eventually(t, "an ordinary request is answered", func() bool {
		return g.send(http.MethodPost, "/check/x", "afterwards", nil).status == http.StatusOK
	})
	peak := g.peakBytes(t)
	t.Logf("peak of the host %d MB; %d descriptors, %d when the clients left", peak>>20, descriptors, atEnd)
	if peak > unreadMemory {
		t.Errorf("the host took %d MB, it has %d", peak>>20, unreadMemory>>20)
	}
	if descriptors > unreadDescriptors {
		t.Errorf("the host had %d descriptors open, it may have %d", descriptors, unreadDescriptors)
	}
}
