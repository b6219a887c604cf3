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

// testTimeout bounds the time that tests wait for an expected event.
const testTimeout = 20 * time.Second

// TestOpenRemoteGivesUpOnSilentHost opens a session with a host that accepts connections
// and never answers: openRemote must return within connectTimeout.
func TestOpenRemoteGivesUpOnSilentHost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		_, err := openRemote(context.Background(), &http.Client{Transport: &http.Transport{}},
			peers.Host{Name: "silent", Address: "http://" + listener.Addr().String()}, func(SchedulerMessage) {}, nil)
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, errSessionNotOpened) {
			t.Errorf("error %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("openRemote did not return")
	}
}
