package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// largestHeads are sent at the same time, in several rounds.
	largestHeads      = 16
	largestHeadRounds = 5
)

// largestHead returns a head of 16,384 bytes, the limit of the platform, with as many distinct fields as
// fit.
func largestHead(l *hostileListener) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString(openHead(l) + "Connection: close\r\nX-Request-Id: largest\r\n")
	if strings.HasPrefix(l.line, "POST") {
		b.WriteString("Content-Length: 0\r\n")
	}
	for n := 0; b.Len()+10 < limitsHead; n++ {
		name := string([]byte{letters[n%len(letters)], letters[n/len(letters)%len(letters)]})
		if k := n / len(letters) / len(letters); k > 0 {
			name += string(letters[k-1])
		}
		b.WriteString(name + ":\n")
	}
	return b.String() + "x:" + strings.Repeat("x", limitsHead-b.Len()-4) + "\n\n"
}

// TestRoutesLargestHeadsAreServed guards against bounds on heads that clients inside the limits meet:
// heads of 16,384 bytes with 3,800 fields, many at a time, are served in calm at each listener.
func TestRoutesLargestHeadsAreServed(t *testing.T) {
	f, listeners := limitedFleet(t)
	want := map[string]int{
		"callers": http.StatusOK, "peers": http.StatusUnauthorized, "operators": http.StatusOK, "control": http.StatusNotFound,
	}
	for _, l := range listeners {
		head := largestHead(l)
		if len(head) != limitsHead {
			t.Fatalf("the head has %d bytes", len(head))
		}
		for range largestHeadRounds {
			var group sync.WaitGroup
			for range largestHeads {
				group.Go(func() {
					if status := statusOfHead(t, l.address, head); status != want[l.name] {
						t.Errorf("%s: status %d", l.name, status)
					}
				})
			}
			group.Wait()
		}
	}
	if peak := f.gateways[0].peakBytes(t); peak > hostileMemory {
		t.Errorf("the host took %d MB, it has %d", peak>>20, hostileMemory>>20)
	} else {
		t.Logf("%d fields in a head, peak %d MB", strings.Count(largestHead(listeners[0]), "\n")-2, peak>>20)
	}
}

// statusOfHead sends a head and returns the status of the response.
func statusOfHead(t *testing.T, address, head string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, head); err != nil {
		t.Error(err)
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
