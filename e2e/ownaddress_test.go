package e2e

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// firstOwnPort and lastOwnPort bound the ports that ownAddress returns: below those that the system
	// gives to connections, and all of five digits.
	firstOwnPort = 10_000
	lastOwnPort  = 30_000
)

// ownIP is a loopback address that no other process uses while this one lives, and that no connection is
// made from: a listener that is closed finds its port free when it opens again.
var ownIP = ownIPOf(os.Getpid())

// ownPorts counts the ports of ownIP that were returned.
var ownPorts atomic.Int64

// ownIPOf returns the loopback address of a process: 127.64.0.0/10 has one for each process id.
func ownIPOf(pid int) string {
	return net.IPv4(127, byte(64|pid>>16&0x3f), byte(pid>>8), byte(pid)).String()
}

// ownAddress returns an address that nobody else listens on, now or later.
func ownAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstOwnPort + ownPorts.Add(1) - 1
		if port > lastOwnPort {
			t.Fatalf("no port of %s is left", ownIP)
		}
		address := net.JoinHostPort(ownIP, strconv.FormatInt(port, 10))
		// A listener on all addresses has the port here too.
		if canListen(address) {
			return address
		}
	}
}

func canListen(address string) bool {
	// A process that is started meanwhile would hold the listener for a moment.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
