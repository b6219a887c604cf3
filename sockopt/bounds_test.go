package sockopt

import (
	"testing"
	"time"
)

// replayStep is the step of the silences, their beginnings and the time-outs that are
// replayed.
const replayStep = 10 * time.Millisecond

// acknowledgedAfter replays the kernel's retransmissions of data that was sent at 0, beside a
// silence. It returns when the first retransmission that the peer gets was sent.
func acknowledgedAfter(rto, begin, end time.Duration) time.Duration {
	at := time.Duration(0)
	for next := rto; at >= begin && at < end; next *= 2 {
		at += next
	}
	return at
}

// endedByProbes replays the probes of a connection that is idle from 0 on and whose peer is
// silent meanwhile, as Linux sends them, and reports whether they end the connection.
func endedByProbes(userTimeout, begin, end time.Duration) bool {
	last, unanswered := time.Duration(0), 0
	at := keepAliveIdle
	for {
		switch {
		case unanswered > 0 && at-last >= userTimeout:
			return true
		case at >= end:
			return false
		case at < begin:
			last, unanswered = at, 0
			at += keepAliveIdle
		default:
			unanswered++
			at += keepAliveInterval
		}
	}
}

// survivesRetransmission reports whether every retransmission beside a sound silence is
// acknowledged within a user timeout.
func survivesRetransmission(userTimeout time.Duration) bool {
	for rto := minRTO; rto <= maxRTO; rto += replayStep {
		for silence := replayStep; silence <= soundSilence; silence += replayStep {
			for sent := time.Duration(0); sent < silence; sent += replayStep {
				if acknowledgedAfter(rto, 0, silence-sent)+maxRoundTrip > userTimeout {
					return false
				}
			}
		}
	}
	return true
}

// survivesProbes reports whether no probe beside a sound silence ends a connection.
func survivesProbes(userTimeout time.Duration) bool {
	for begin := time.Duration(0); begin <= 3*keepAliveIdle; begin += replayStep {
		for silence := replayStep; silence <= soundSilence; silence += replayStep {
			if endedByProbes(userTimeout, begin, begin+silence) {
				return false
			}
		}
	}
	return true
}

// TestSilentPeerKeepsItsConnection replays retransmissions and probes beside silences of all
// lengths. A user timeout as long as the silence is too short for both.
func TestSilentPeerKeepsItsConnection(t *testing.T) {
	if !survivesRetransmission(UserTimeout) {
		t.Error("a retransmission is acknowledged too late")
	}
	if !survivesProbes(UserTimeout) {
		t.Error("probes end a connection")
	}
	if survivesRetransmission(soundSilence) || survivesProbes(soundSilence) {
		t.Error("the replay shows no connection that a timeout of the silence's length ends")
	}
}

// TestLastRetransmissionBoundsTheBackoff compares the formula to the replay.
func TestLastRetransmissionBoundsTheBackoff(t *testing.T) {
	latest := time.Duration(0)
	for rto := minRTO; rto <= maxRTO; rto += time.Millisecond {
		latest = max(latest, acknowledgedAfter(rto, 0, soundSilence))
	}
	if latest > lastRetransmission || latest < lastRetransmission-maxRTO {
		t.Errorf("latest retransmission after %s, bound %s", latest, lastRetransmission)
	}
}

// TestProbesAgreeWithTheUserTimeout keeps kernels that count probes from ending a connection
// sooner than those that go by the user timeout.
func TestProbesAgreeWithTheUserTimeout(t *testing.T) {
	if byCount := keepAliveIdle + time.Duration(keepAliveCount)*keepAliveInterval; byCount != UserTimeout {
		t.Errorf("%d probes end after %s, the user timeout is %s", keepAliveCount, byCount, UserTimeout)
	}
	if idle := keepAliveIdle + soundSilence + keepAliveInterval + maxRoundTrip; idle > UserTimeout {
		t.Errorf("an idle peer is heard again after %s", idle)
	}
}
