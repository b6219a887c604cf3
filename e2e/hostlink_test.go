package e2e

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// cutManner is how a hostLink is cut.
type cutManner string

const (
	// cutHang drops the packets of new connections and lets nothing more through those that
	// are open, also after the cut. Their bytes are still acknowledged: on loopback there is
	// no unprivileged way to drop packets of an open connection.
	cutHang cutManner = "hang"
	// cutReset resets connections, new ones once they are established.
	cutReset cutManner = "reset"
	// cutRefuse refuses new connections and resets those that are open.
	cutRefuse cutManner = "refuse"
	// cutRefuseKept refuses new connections; those that are open live on.
	cutRefuseKept cutManner = "refuse, kept"
)

var cutManners = []cutManner{cutHang, cutReset, cutRefuse, cutRefuseKept}

// backlog bounds the connections that wait to be accepted.
const backlog = 1024

// hostLink forwards the connections of one host to one endpoint.
type hostLink struct {
	t      *testing.T
	target string
	// source is the IP address that the endpoint sees.
	source  net.IP
	address string
	ended   chan struct{}

	mu       sync.Mutex
	manner   cutManner
	healed   chan struct{}
	listener *net.TCPListener
	fillers  []net.Conn
	pairs    map[*linkPair]bool
}

// linkPair is one connection through a hostLink.
type linkPair struct {
	near, far net.Conn
	// silent lets nothing through any more.
	silent atomic.Bool
}

// newHostLink returns a link to an endpoint, which sees connections from an IP address.
func newHostLink(t *testing.T, target string, source net.IP) *hostLink {
	t.Helper()
	p := &hostLink{t: t, target: target, source: source, address: ownAddress(t),
		ended: make(chan struct{}), healed: make(chan struct{}), pairs: make(map[*linkPair]bool)}
	close(p.healed)
	p.listen()
	t.Cleanup(p.end)
	return p
}

// listen opens the listener; the lock is held, or nobody else knows the link.
func (p *hostLink) listen() {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		p.t.Errorf("link to %s: %v", p.target, err)
		return
	}
	p.listener = l.(*net.TCPListener)
	go p.accept(p.listener)
}

func (p *hostLink) end() {
	p.heal()
	close(p.ended)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for pair := range p.pairs {
		pair.reset()
	}
}

func (pair *linkPair) reset() {
	resetConn(pair.near)
	resetConn(pair.far)
}

// cut takes the link away.
func (p *hostLink) cut(manner cutManner) {
	p.heal()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.manner, p.healed = manner, make(chan struct{})
	switch manner {
	case cutHang:
		p.stall()
		for pair := range p.pairs {
			pair.silent.Store(true)
		}
	case cutRefuse, cutRefuseKept:
		_ = p.listener.Close()
	}
	if manner == cutReset || manner == cutRefuse {
		for pair := range p.pairs {
			pair.reset()
		}
	}
}

// heal gives the link back; connections that fell silent stay so, and their endpoint sees
// them reset.
func (p *hostLink) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	manner := p.manner
	if manner == "" {
		return
	}
	p.manner = ""
	switch manner {
	case cutHang:
		for _, c := range p.fillers {
			_ = c.Close()
		}
		p.fillers = nil
		p.setBacklog(backlog)
		_ = p.listener.SetDeadline(time.Time{})
		for pair := range p.pairs {
			if pair.silent.Load() {
				resetConn(pair.far)
			}
		}
	case cutRefuse, cutRefuseKept:
		p.listen()
	}
	close(p.healed)
}

// stall makes the system drop the packets of new connections: nobody accepts them, and the
// queue of those that wait is full.
func (p *hostLink) stall() {
	const fillTime = 20 * time.Millisecond
	_ = p.listener.SetDeadline(time.Unix(1, 0))
	p.setBacklog(0)
	for {
		c, err := net.DialTimeout("tcp", p.address, fillTime)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
}

// setBacklog changes the length of the listener's queue.
func (p *hostLink) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
	}
	if err != nil {
		p.t.Errorf("backlog of the link to %s: %v", p.target, err)
	}
}

func (p *hostLink) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			go p.forward(c)
		case errors.Is(err, os.ErrDeadlineExceeded):
			<-p.untilHealed()
		default:
			return
		}
	}
}

func (p *hostLink) mannerNow() cutManner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.manner
}

func (p *hostLink) untilHealed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *hostLink) forward(near net.Conn) {
	if p.mannerNow() == cutReset {
		resetConn(near)
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: p.source}, Timeout: time.Second}
	far, err := dialer.Dial("tcp", p.target)
	if err != nil {
		resetConn(near)
		return
	}
	pair := &linkPair{near: near, far: far}
	p.mu.Lock()
	// A connection that was accepted as the cut began shares its fate.
	switch p.manner {
	case cutHang:
		pair.silent.Store(true)
	case cutReset, cutRefuse:
		pair.reset()
	}
	p.pairs[pair] = true
	p.mu.Unlock()
	var halves sync.WaitGroup
	halves.Go(func() { p.copy(pair, far, near) })
	halves.Go(func() { p.copy(pair, near, far) })
	halves.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy passes one direction on until it ends; an end that is no close resets both.
func (p *hostLink) copy(pair *linkPair, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if pair.silent.Load() {
			<-p.ended
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				pair.reset()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err.Error() == "EOF" {
				_ = tcp.CloseWrite()
				return
			}
			pair.reset()
			return
		}
	}
}
