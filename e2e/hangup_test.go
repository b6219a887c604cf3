package e2e

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestHangupDuringShutdownKillsNoHost sends SIGHUP all the time while a host shuts down.
func TestHangupDuringShutdownKillsNoHost(t *testing.T) {
	f := newRoutedFleet(t, 1)
	g := f.gateways[0]
	g.signal(syscall.SIGTERM)
	tick := time.NewTicker(200 * time.Microsecond)
	defer tick.Stop()
	for {
		select {
		case <-g.done:
			if code := g.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("%s: %s", g.name, g.cmd.ProcessState)
			}
			return
		case <-tick.C:
			g.signal(syscall.SIGHUP)
		}
	}
}

// TestHangupCutsNoStream sends SIGHUP to a host of the OpenAI interface in the middle of an
// answer.
func TestHangupCutsNoStream(t *testing.T) {
	const tokens = 20
	f := newFleet(t, fleetOptions{daemons: 1, engines: 1, engineArgs: []string{"--step", "50ms"}})
	stream := f.daemons[0].openai(shopKey).Chat.Completions.NewStreaming(context.Background(), chat("hangup", tokens))
	var b strings.Builder
	for stream.Next() {
		if b.Len() == 0 {
			f.daemons[0].signal(syscall.SIGHUP)
		}
		if c := stream.Current().Choices; len(c) > 0 {
			b.WriteString(c[0].Delta.Content)
		}
	}
	if err := stream.Err(); err != nil || b.String() != expected("hangup", tokens) {
		t.Errorf("%d bytes, error %v, host %v", b.Len(), err, f.daemons[0].cmd.ProcessState)
	}
}
