package e2e

import (
	"net"
	"sync"
	"testing"
	"time"
)

// wire is what a soakProxy does with the connections through it.
type wire int

const (
	wireOpen wire = iota
	// wireCut resets connections, wireHeld lets nothing through.
	wireCut
	wireHeld
)

// soakProxy forwards connections to an address, and fails as networks do.
type soakProxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	state wire
	// changed is closed when the state changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// passed, unless it is nil, keeps what goes through.
	passed *passedBytes
}

func newSoakProxy(t *testing.T, target string) *soakProxy {
	t.Helper()
	return newSoakProxyAt(t, target, "127.0.0.1:0")
}

func newSoakProxyAt(t *testing.T, target, address string) *soakProxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &soakProxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.set(wireCut) })
	return p
}

func (p *soakProxy) address() string { return p.listener.Addr().String() }

// set changes what happens to connections, those open included.
func (p *soakProxy) set(state wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state != wireCut {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// pass waits until bytes may go through, and reports false if they never may.
func (p *soakProxy) pass() bool {
	for {
		p.mu.Lock()
		state, changed := p.state, p.changed
		p.mu.Unlock()
		if state != wireHeld {
			return state == wireOpen
		}
		<-changed
	}
}

func (p *soakProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *soakProxy) forward(near net.Conn) {
	if !p.pass() {
		resetConn(near)
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		resetConn(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var halves sync.WaitGroup
	halves.Go(func() { p.copy(far, near) })
	halves.Go(func() { p.copy(near, far) })
	halves.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy passes one direction on until it ends; an end that is no close resets both.
func (p *soakProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	p.mu.Lock()
	kept := p.passed.open()
	p.mu.Unlock()
	for {
		n, err := from.Read(buffer)
		kept.write(buffer[:max(0, n)])
		if !p.pass() {
			resetConn(to)
			resetConn(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err.Error() == "EOF" {
				_ = tcp.CloseWrite()
				return
			}
			resetConn(to)
			return
		}
	}
}
