package relay

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestStoreAnswersWithoutEndAreRelayedInLittleMemory guards against a host that keeps what the store
// sends without end while it relays calls: the host that called reads a part and closes, which must end
// the answer at the store too.
func TestStoreAnswersWithoutEndAreRelayedInLittleMemory(t *testing.T) {
	const named = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, form := range map[string]rawhttp.EndlessForm{
		"body":   {Begin: named + "\r\n", Repeat: "x"},
		"chunks": {Begin: named + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const calls, most, read, maxBytesEach = 8, 64 << 20, 4 << 20, 1 << 20
			store, err := rawhttp.StartEndless(form, most)
			if err != nil {
				t.Fatal(err)
			}
			defer store.Close()
			near := newTestHost(t, "near", store.Address())
			isolated := newTestHost(t, "cut", store.Address(), near)
			isolated.cutOff.Store(true)
			relayAgain(isolated, near)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store.Address()+"/read", nil)
					if err != nil {
						t.Error(err)
						return
					}
					resp, err := isolated.transport.RoundTrip(req)
					if err != nil {
						t.Errorf("no answer: %v", err)
						return
					}
					if n, err := io.CopyN(io.Discard, resp.Body, read); err != nil {
						t.Errorf("%d bytes passed on: %v", n, err)
					}
					_ = resp.Body.Close()
				})
			}
			group.Wait()
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > calls*maxBytesEach {
				t.Errorf("%d bytes allocated for %d answers", got, calls)
			}
			// What is sent grows no more once the connections are closed.
			for sent := int64(-1); sent != store.Sent(); time.Sleep(50 * time.Millisecond) {
				sent = store.Sent()
			}
			if sent := store.Sent(); sent > calls*most/2 {
				t.Errorf("the store sent %d bytes for %d of them", sent, calls*read)
			}
		})
	}
}
