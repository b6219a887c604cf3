package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/slots"
)

const (
	// hostileConnections is the size of the crowd, hostileMemory and hostileDescriptors are what the
	// host may use. They were fixed before the heads of requests had a bound over all connections.
	hostileConnections = 160
	hostileMemory      = 96 << 20
	hostileDescriptors = 1024
	// hostileBytes bounds what one connection is sent, hostileTime how long the crowd goes on.
	hostileBytes = 4 << 20
	hostileTime  = 2 * time.Second
	// hostilePause is the time between two connections of a client.
	hostilePause = 20 * time.Millisecond
	// nearHeadLimit is the size of a head that net/http's limit of 64 KB lets through, limitsHead
	// that of the largest head within the limits of the platform.
	nearHeadLimit = 62 << 10
	limitsHead    = 16_384
)

// hostileListener is a listener of the host, and a request for it.
type hostileListener struct {
	name    string
	address string
	// line is the request line, without the protocol.
	line string
}

// hostileForm is what a client of the crowd sends.
type hostileForm struct {
	name string
	// begin and end stand around the repeated part, which fills head bytes, or hostileBytes if that is 0.
	begin  func(l *hostileListener) string
	repeat func(n int) string
	head   int
	end    string
	// reads is set if the client reads what it is sent.
	reads bool
	// slowly is the pause between two bytes, if it is not 0.
	slowly time.Duration
	// half is set if every other client sends ordinary requests.
	half bool
}

// tinyField returns a short field whose name occurs once in a head.
func tinyField(n int) string { return strconv.FormatInt(int64(n)+1000, 36) + ":\r\n" }

func same(text string) func(int) string { return func(int) string { return text } }

func openHead(l *hostileListener) string {
	return l.line + " HTTP/1.1\r\nHost: " + routedHost + "\r\n"
}

func waitingHead(l *hostileListener) string { return openHead(l) + "Content-Length: 10\r\n" }

func chunkedHead(l *hostileListener) string {
	return openHead(l) + "Transfer-Encoding: chunked\r\n\r\n"
}

// hostileForms are the ways in which clients exceed limits.
func hostileForms() []*hostileForm {
	nothing := func(*hostileListener) string { return "" }
	answered := func(l *hostileListener) string {
		return strings.Replace(l.line, "GET", "POST", 1) + " HTTP/1.1\r\nHost: " + routedHost + "\r\nContent-Length: 1\r\n\r\nq"
	}
	long := strings.Repeat("x", 1<<10)
	request := func(l *hostileListener) func(int) string {
		return same(openHead(l) + "\r\n")
	}
	return []*hostileForm{
		{name: "fields without end", begin: openHead, repeat: tinyField, reads: true},
		{name: "fields and no end of the head", begin: openHead, repeat: tinyField, head: nearHeadLimit, reads: true},
		{name: "fields and no body", begin: waitingHead, repeat: tinyField, head: nearHeadLimit, end: "\r\n", reads: true},
		{name: "allowed fields and no body", begin: waitingHead, repeat: tinyField, head: limitsHead, end: "\r\n", reads: true},
		{name: "one field without end", begin: func(l *hostileListener) string { return openHead(l) + "X: " }, repeat: same(long), reads: true},
		{name: "request line without end", begin: func(l *hostileListener) string { return l.line }, repeat: same(long), reads: true},
		{name: "empty lines before a request", begin: nothing, repeat: same("\r\n"), reads: true},
		{name: "empty lines between requests", begin: answered, repeat: same("\r\n"), reads: true},
		{name: "chunk extension without end", begin: func(l *hostileListener) string { return chunkedHead(l) + "1;" }, repeat: same(long), reads: true},
		{name: "trailers without end", begin: func(l *hostileListener) string { return chunkedHead(l) + "1\r\nq\r\n0\r\n" }, repeat: tinyField, reads: true},
		{name: "slow heads", begin: openHead, repeat: tinyField, slowly: 5 * time.Millisecond, reads: true},
		{name: "pipelined requests", repeat: nil, begin: func(l *hostileListener) string { return request(l)(0) }, reads: true},
		{name: "pipelined requests unread", repeat: nil, begin: func(l *hostileListener) string { return request(l)(0) }},
		{name: "half ordinary", begin: waitingHead, repeat: tinyField, head: nearHeadLimit, end: "\r\n", reads: true, half: true},
	}
}

// bytes returns what a client sends on one connection.
func (f *hostileForm) bytes(l *hostileListener) []byte {
	var out strings.Builder
	out.WriteString(f.begin(l))
	repeat := f.repeat
	if repeat == nil {
		repeat = same(f.begin(l))
	}
	limit := hostileBytes
	if f.head > 0 {
		limit = f.head - len(f.end)
	}
	for n := 0; ; n++ {
		unit := repeat(n)
		if out.Len()+len(unit) > limit {
			break
		}
		out.WriteString(unit)
	}
	return []byte(out.String() + f.end)
}

// hostileClient connects again and again until the crowd ends, and reports how often it did.
func hostileClient(stop <-chan struct{}, f *hostileForm, address string, data []byte) (connections int) {
	for {
		c, err := net.Dial("tcp", address)
		if err == nil {
			connections++
			holdConnection(stop, f, c, data)
		}
		select {
		case <-stop:
			return connections
		case <-time.After(hostilePause):
		}
	}
}

// holdConnection sends the bytes of a form and keeps the connection until the host ends it, or the
// crowd ends.
func holdConnection(stop <-chan struct{}, f *hostileForm, c net.Conn, data []byte) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-stop:
		case <-ended:
		}
		_ = c.Close()
	})
	if f.reads {
		group.Go(func() {
			buffer := make([]byte, 4<<10)
			for {
				if _, err := c.Read(buffer); err != nil {
					close(ended)
					return
				}
			}
		})
	}
	step := len(data)
	if f.slowly > 0 {
		step = 1
	}
	var err error
	for sent := 0; sent < len(data) && err == nil; sent += step {
		_, err = c.Write(data[sent : sent+step])
		if f.slowly > 0 {
			time.Sleep(f.slowly)
		}
	}
	if !f.reads {
		if err == nil {
			<-stop
		}
		close(ended)
	}
	group.Wait()
}

// ordinaryClient sends ordinary requests to the callers' listener until the crowd ends.
func ordinaryClient(stop <-chan struct{}, g *gateway, n int) (served int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return served
		default:
		}
		if g.sendFor(time.Second, http.MethodPost, "/check/x", fmt.Sprintf("ordinary-%d-%d", n, i), nil, nil).status == http.StatusOK {
			served++
		}
	}
}

// openDescriptors returns how many descriptors a process has open.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("%s has ended: %v", p.name, err)
	}
	return len(entries)
}

// limitedFleet returns a fleet of one host with little memory and few descriptors.
func limitedFleet(t *testing.T) (*routedFleet, []*hostileListener) {
	t.Helper()
	f := newRoutedFleet(t, 1)
	g := f.gateways[0]
	text := f.limitHost(hostileMemory, hostileDescriptors)
	peers := regexp.MustCompile(`(?m)^peers = (.*)$`).FindSubmatch(text)
	return f, []*hostileListener{
		{name: "callers", address: strings.TrimPrefix(g.callers, "http://"), line: "POST /check/x"},
		{name: "peers", address: string(peers[1]), line: "POST " + slots.SessionPath},
		{name: "operators", address: strings.TrimSuffix(strings.TrimPrefix(g.ready, "http://"), "/ready"), line: "GET /ready"},
		{name: "control", address: f.controls[0], line: "GET /none"},
	}
}

// limitHost starts the first host anew with so much memory and so many descriptors, and returns its
// settings.
func (f *routedFleet) limitHost(memory, descriptors int) []byte {
	f.t.Helper()
	text, err := os.ReadFile(f.gateways[0].file)
	if err != nil {
		f.t.Fatal(err)
	}
	limits := fmt.Sprintf("grace = 8s\nmemory = %dMiB\ndescriptors = %d\n", memory>>20, descriptors)
	text = []byte(strings.Replace(string(text), "grace = 8s\n", limits, 1))
	if err := os.WriteFile(f.gateways[0].file, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.renew()
	return text
}

// renew starts the first host anew: the most memory that a process has had is that of its life.
func (f *routedFleet) renew() {
	f.t.Helper()
	f.gateways[0].kill()
	f.restart(f.gateways[0])
	f.awaitReady(f.gateways[0])
}

// answers reports whether a listener answers an ordinary request, with whatever status is usual there.
func (l *hostileListener) answers() bool {
	method, path, _ := strings.Cut(l.line, " ")
	req, err := http.NewRequest(method, "http://"+l.address+path, nil)
	if err != nil {
		return false
	}
	req.Host = routedHost
	req.Header.Set("X-Request-Id", "afterwards")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	switch l.name {
	case "peers":
		return resp.StatusCode == http.StatusUnauthorized
	case "control":
		return resp.StatusCode == http.StatusNotFound
	default:
		return resp.StatusCode == http.StatusOK
	}
}

// TestRoutesHostileCrowd guards against a host that runs out of memory, and ends, when clients send
// heads beyond the limits, or pieces of requests without end: heads of many short fields took six
// times the memory that the host has. The host must live within its memory and descriptors, and
// answer an ordinary request when the crowd has gone.
func TestRoutesHostileCrowd(t *testing.T) {
	f, listeners := limitedFleet(t)
	g := f.gateways[0]
	for _, l := range listeners {
		for _, form := range hostileForms() {
			t.Run(l.name+" "+form.name, func(t *testing.T) {
				f.t = t
				f.renew()
				playCrowd(t, g, []*hostileListener{l}, form)
			})
		}
	}
	for _, form := range hostileForms() {
		if form.head > 0 {
			t.Run("all listeners "+form.name, func(t *testing.T) {
				f.t = t
				f.renew()
				playCrowd(t, g, listeners, form)
			})
		}
	}
}

// playCrowd has a crowd spread over listeners, and checks the host.
func playCrowd(t *testing.T, g *gateway, listeners []*hostileListener, form *hostileForm) {
	t.Helper()
	before := g.peakBytes(t)
	var data [][]byte
	for _, l := range listeners {
		data = append(data, form.bytes(l))
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var connections, served atomic.Int64
	for n := range hostileConnections {
		group.Go(func() {
			if form.half && n%2 == 0 {
				served.Add(int64(ordinaryClient(stop, g, n)))
				return
			}
			at := n / 2 % len(listeners)
			connections.Add(int64(hostileClient(stop, form, listeners[at].address, data[at])))
		})
	}
	descriptors := 0
	for ends := time.Now().Add(hostileTime); time.Now().Before(ends); time.Sleep(50 * time.Millisecond) {
		descriptors = max(descriptors, g.openDescriptors(t))
	}
	close(stop)
	group.Wait()
	eventually(t, "an ordinary request is answered", func() bool {
		return !slices.ContainsFunc(listeners, func(l *hostileListener) bool { return !l.answers() }) &&
			g.send(http.MethodPost, "/check/x", "afterwards", nil).status == http.StatusOK
	})
	peak := g.peakBytes(t)
	t.Logf("peak of the host %d MB, %d MB before; %d descriptors, %d connections, %d ordinary requests served",
		peak>>20, before>>20, descriptors, connections.Load(), served.Load())
	if peak > hostileMemory {
		t.Errorf("the host took %d MB, it has %d", peak>>20, hostileMemory>>20)
	}
	if descriptors > hostileDescriptors {
		t.Errorf("the host had %d descriptors open, it may have %d", descriptors, hostileDescriptors)
	}
}
