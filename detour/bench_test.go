package detour

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/upstream"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHelpedStream measures what a stream of 25 events of 65 bytes with a request of 1,500
// costs, directly and through another host: time on all sides, and bytes between the hosts.
func BenchmarkHelpedStream(b *testing.B) {
	event := "id: 1\ndata: " + strings.Repeat("x", 65) + "\n\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", "r")
		for range 25 {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer server.Close()
	e := &endpoint.Endpoint{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	helper := New(Options{
		Pool: upstream.NewPool(upstream.Options{}), Endpoint: func(string) *endpoint.Endpoint { return e }, Draining: func() bool { return false },
		OnResponse: func(*endpoint.Endpoint, string, time.Time) func(int, http.Header) { return nil },
		MaxCalls:   64, MaxBodyBytes: 1 << 20, Logger: log.NewNopLogger(),
	})
	own := httptest.NewServer(http.HandlerFunc(NewServer(helper).ServeCall))
	defer own.Close()
	var bytes atomic.Int64
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{Conn: conn, bytes: &bytes}, err
	}}
	sender := New(Options{
		Self: peers.Host{Name: "self"}, Pool: upstream.NewPool(upstream.Options{}), Peers: transport,
		Hosts: func() []peers.Host { return []peers.Host{{Name: "helper", Address: own.URL, Token: "t"}} }, Logger: log.NewNopLogger(),
	})
	call := &upstream.Call{
		Request: "r", Method: http.MethodPost, Target: "/stream/x", Host: "caller.example", Body: make([]byte, 1500),
		Header: http.Header{"X-Request-Id": {"r"}, "X-Prompt-Prefix": {"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, "X-Model": {"m"}},
	}
	for name, send := range map[string]func(context.Context) (*upstream.Response, error){
		"direct": func(ctx context.Context) (*upstream.Response, error) { return sender.Send(ctx, "e", e.Address, call) },
		"helped": func(ctx context.Context) (*upstream.Response, error) { return sender.sendThroughHelper(ctx, "e", call) },
	} {
		b.Run(name, func(b *testing.B) {
			bytes.Store(0)
			for range b.N {
				resp, err := send(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp); n != int64(25*len(event)) || err != nil {
					b.Fatal(fmt.Errorf("%d bytes, error %w", n, err))
				}
				resp.Close()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
