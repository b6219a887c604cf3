package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotmount/peridotmount/platform"
)

// hostLinks are the links of one host to all endpoints: the host reads the store through it,
// and finds the address of a proxy in the place of each endpoint's.
type hostLinks struct {
	t *testing.T
	// store is the address at which the host reads the store.
	store string

	mu sync.Mutex
	// proxies maps the base URLs of endpoints to their proxies.
	proxies map[string]*soakProxy
	// cutOff is how the links are cut, "" if they are whole.
	cutOff manner
}

// endpointURL matches the address of an endpoint in its record. Its replacement, which is of ownIP too, has the
// same length, as the records of a page are framed.
var endpointURL = regexp.MustCompile(`http://` + regexp.QuoteMeta(ownIP) + `:\d+`)

func newHostLinks(t *testing.T, storeURL string) *hostLinks {
	t.Helper()
	l := &hostLinks{t: t, proxies: make(map[string]*soakProxy)}
	target, err := url.Parse(storeURL)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ModifyResponse = l.rewrite
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	l.store = strings.TrimPrefix(server.URL, "http://")
	return l
}

// rewrite replaces the addresses of endpoints in an answer of the store.
func (l *hostLinks) rewrite(resp *http.Response) error {
	if resp.Request.URL.Query().Get("topic") != platform.TopicEndpoints.Name || resp.StatusCode != http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if strings.HasSuffix(resp.Request.URL.Path, "/log-newest") {
		body, err = l.rewriteListing(body)
	} else {
		body = endpointURL.ReplaceAllFunc(body, l.through)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return err
}

// rewriteListing replaces the addresses in a listing, whose values are encoded.
func (l *hostLinks) rewriteListing(body []byte) ([]byte, error) {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset int64  `json:"offset"`
		} `json:"items"`
		More bool  `json:"more"`
		End  int64 `json:"end"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, err
	}
	for i := range page.Items {
		page.Items[i].Value = endpointURL.ReplaceAllFunc(page.Items[i].Value, l.through)
	}
	return json.Marshal(page)
}

// through returns the base URL of the proxy of an endpoint.
func (l *hostLinks) through(base []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proxies[string(base)]
	if p == nil {
		p = newSoakProxyAt(l.t, strings.TrimPrefix(string(base), "http://"), ownAddress(l.t))
		l.proxies[string(base)] = p
		l.apply(p)
	}
	return []byte("http://" + p.address())
}

// manner is what becomes of a host's connections to endpoints.
type manner string

const (
	// refused resets the open connections and refuses new ones.
	refused manner = "refused"
	// silent lets nothing through and answers no attempt to connect.
	silent manner = "silent"
	// closed leaves the open connections and refuses new ones.
	closed manner = "closed"
)

// cut cuts the host off from all endpoints.
func (l *hostLinks) cut(m manner) {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff = m
	for _, p := range l.proxies {
		l.apply(p)
	}
}

// apply cuts a link if all are cut. The caller holds mu.
func (l *hostLinks) apply(p *soakProxy) {
	switch l.cutOff {
	case refused:
		_ = p.listener.Close()
		p.set(wireCut)
	case silent:
		p.set(wireHeld)
		l.silence(p.listener.(*net.TCPListener))
	case closed:
		_ = p.listener.Close()
	}
}

// silence makes a listener ignore attempts to connect, as its queue is full.
func (l *hostLinks) silence(listener *net.TCPListener) {
	l.t.Helper()
	// The pending call of Accept ends.
	_ = listener.SetDeadline(time.Now())
	raw, err := listener.SyscallConn()
	if err != nil {
		l.t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); err != nil {
		l.t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", listener.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return
		}
		l.t.Cleanup(func() { _ = c.Close() })
	}
}

// restore accepts connections again.
func (l *hostLinks) restore() {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff = ""
	for base, p := range l.proxies {
		_ = p.listener.Close()
		p.set(wireCut)
		l.proxies[base] = newSoakProxyAt(l.t, p.target, p.address())
	}
}
