package slots

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/peers"
)

// testPatience is how long tests wait for what must happen.
const testPatience = 20 * time.Second

// TestOpenRemoteGivesUpOnSilentHost opens a session with a host that accepts
// connections and says nothing.
func TestOpenRemoteGivesUpOnSilentHost(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	done := make(chan error, 1)
	go func() {
		_, err := openRemote(context.Background(), &http.Client{Transport: &http.Transport{}},
			peers.Host{Name: "silent", Address: "http://" + silent.Addr().String()}, func(Down) {}, nil)
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, errSession) {
			t.Errorf("error %v", err)
		}
	case <-time.After(testPatience):
		t.Fatal("openRemote did not return")
	}
}
