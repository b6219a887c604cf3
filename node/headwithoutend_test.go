package node

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestHeadWithoutEndIsGivenUp guards against endpoints that take a host's memory: each head without end
// took 10 MB of it. The host must give up soon after a large head would have ended.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const most = 24 << 20
	endless, err := rawhttp.StartEndless(rawhttp.EndlessForm{Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-More: y\r\n"}, most)
	if err != nil {
		t.Fatal(err)
	}
	defer endless.Close()
	n := &Node{settings: &settings.Settings{}}
	req, err := http.NewRequest(http.MethodGet, "http://"+endless.Address(), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := n.newTransportOver((&net.Dialer{}).DialContext).RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
		t.Fatal("a head without end was taken")
	}
	// The connection is closed: what is sent grows no more.
	sent := int64(-1)
	for sent != endless.Sent() {
		sent = endless.Sent()
		time.Sleep(50 * time.Millisecond)
	}
	// What the sockets of both sides hold comes on top.
	const maxSent = 8 << 20
	if sent > maxSent {
		t.Errorf("%d bytes of the head were read", sent)
	}
}
