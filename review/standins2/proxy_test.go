//go:build review2

package standins2

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy is the link between the hosts and one replica. While it is cut, it forwards nothing in either
// direction, neither bytes nor ends of connections, and what arrived is held until the link is back.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	open  chan struct{}
	conns []net.Conn
}

// startProxy starts the link to a replica.
func (f *fleet) startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p := &proxy{listener: l, target: target, open: make(chan struct{})}
	close(p.open)
	f.proxies = append(f.proxies, p)
	go p.accept()
	return p
}

// address returns where the hosts reach the replica.
func (p *proxy) address() string { return p.listener.Addr().String() }

// cut cuts the link.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

// heal ends the cut.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// await returns once the link is not cut.
func (p *proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.keep(c)
		go p.serve(c)
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *proxy) serve(c net.Conn) {
	p.await()
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		// The replica's port has no listener, which resets the connection.
		reset(c)
		return
	}
	p.keep(up)
	var both sync.WaitGroup
	both.Go(func() { p.pump(up, c) })
	both.Go(func() { p.pump(c, up) })
	both.Wait()
	_ = c.Close()
	_ = up.Close()
}

// pump forwards what one side sends, and its end as it was: regular, or by a reset.
func (p *proxy) pump(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = tcp.CloseWrite()
			return
		}
		reset(to)
		return
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
