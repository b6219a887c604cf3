package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// maxBoundGap is the maximum difference between the upper bound and the share in time, over
// all drawn deployments together. 0.05 is the target itself, without a margin.
const maxBoundGap = 0.05

// drawnDeployment is a random deployment with each parameter from a wide range.
type drawnDeployment struct {
	replayLoad
	peak, valley float64
	mean         float64
	jobRate      float64
}

// drawDeployment returns the deployment of a seed.
func drawDeployment(seed uint64) drawnDeployment {
	r := rand.New(rand.NewPCG(seed, 77))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, r.Float64()) }
	d := drawnDeployment{
		replayLoad: replayLoad{
			endpoints: int(between(3, 60)), slots: int(between(2, 16)), length: 30 * time.Second,
			token:        time.Duration(between(1, 12) * float64(time.Millisecond)),
			first:        time.Duration(between(20, 150) * float64(time.Millisecond)),
			objective:    time.Duration(between(250, 1200) * float64(time.Millisecond)),
			onlineTokens: between(40, 400), itemTokens: between(200, 1500),
			estimated: r.Float64() < 0.5, uneven: r.Float64() < 0.5,
		},
		peak: between(1.2, 2.2),
	}
	d.valley = max(0.1, (5.8-2.4*d.peak)/3.4)
	// Online requests need 0.3 to 0.9 of the slots on average, and items 0.2 to 1.1 of the
	// remaining slots.
	onlineShare := between(0.3, 0.9)
	slots := float64(d.endpoints * d.slots)
	d.mean = onlineShare * slots / d.hold().Seconds()
	d.jobRate = between(0.2, 1.1) * (1 - onlineShare) * slots / (10 * d.itemSize() * d.token.Seconds())
	d.online = func(at time.Duration) float64 { return d.mean * d.shape(at) }
	d.jobs = steady(d.jobRate)
	return d
}

// shape returns the rate of online requests at a time, relative to the mean.
func (d *drawnDeployment) shape(at time.Duration) float64 {
	if (at+2400*time.Millisecond)%(5800*time.Millisecond) < 2400*time.Millisecond {
		return d.peak
	}
	return d.valley
}

// hold returns the mean time that an online request uses a slot.
func (d *drawnDeployment) hold() time.Duration {
	return d.first + time.Duration(d.onlineTokens*float64(d.token))
}

// bound returns upper bounds, for any scheduler, of the shares of online requests and of
// items in time. It treats the load as a fluid: online requests go first, no engine is
// slowed, each request is admitted if a slot becomes free within its objective, either
// immediately or after its retry, and the remaining slot time goes without loss to the
// items that are short enough for their window.
func (d *drawnDeployment) bound() (online, items float64) {
	const step = 10 * time.Millisecond
	slots, hold := float64(d.endpoints*d.slots), d.hold().Seconds()
	maxWaiting := slots / hold * (d.objective - d.first + maxRetryAfter).Seconds()
	// spare is the slot time that online requests leave, in seconds.
	var waiting, served, total, spare float64
	for at := time.Duration(0); at < d.length; at += step {
		arrived := d.online(at) * step.Seconds()
		total += arrived
		done := min(waiting+arrived, slots/hold*step.Seconds())
		waiting = min(waiting+arrived-done, maxWaiting)
		served += done
		spare += slots*step.Seconds() - done*hold
	}
	// The items of the last seconds are due after the end of the online requests, so all
	// slots are theirs for the 18 s of their window.
	spare += slots * 18
	itemTime := d.itemSize() * d.token.Seconds()
	shortEnough := 0.5 * math.Erfc(-((18-d.first.Seconds())/itemTime-1)/0.25/math.Sqrt2)
	return served / total, min(shortEnough, spare/(d.jobRate*d.length.Seconds()*10*itemTime))
}

// TestReplayDrawnDeployments replays random deployments and compares the shares in time to
// their upper bounds, without and with Options.WeighWaits. The environment variable DRAWS sets the number of deployments, and
// makes the test print each.
func TestReplayDrawnDeployments(t *testing.T) {
	draws, verbose := 12, false
	if text := os.Getenv("DRAWS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		draws, verbose = n, true
	}
	for _, weigh := range []bool{false, true} {
		replayDraws(t, draws, verbose, weigh)
	}
}

func replayDraws(t *testing.T, draws int, verbose, weigh bool) {
	t.Helper()
	var online, items, allOnline, allItems float64
	for seed := range uint64(draws) {
		d := drawDeployment(seed + 1)
		d.weigh = weigh
		o := runReplay(t, d.replayLoad, seed+1)
		mostOnline, mostItems := d.bound()
		gapOnline := mostOnline - share(o.inTime, o.online)
		gapItems := mostItems - share(o.itemsInTime, o.items)
		// Each request and each item has the same weight.
		online, allOnline = online+gapOnline*float64(o.online), allOnline+float64(o.online)
		items, allItems = items+gapItems*float64(o.items), allItems+float64(o.items)
		if verbose {
			fmt.Printf("draw %d: %d x %d slots, token %s, first %s, objective %s, peak %.2f, mean %.0f/s, jobs %.2f/s: online %.3f below %.3f, items %.3f below %.3f\n",
				seed+1, d.endpoints, d.slots, d.token.Round(10*time.Microsecond), d.first.Round(time.Millisecond), d.objective.Round(time.Millisecond),
				d.peak, d.mean, d.jobRate, gapOnline, mostOnline, gapItems, mostItems)
		}
		if o.refusedWithRoom > 0 {
			t.Errorf("draw %d, weigh %v: %d requests refused while slots were free", seed+1, weigh, o.refusedWithRoom)
		}
	}
	online, items = online/allOnline, items/allItems
	t.Logf("%d draws, weigh %v: online %.3f, items %.3f below the bound", draws, weigh, online, items)
	if online > maxBoundGap || items > maxBoundGap {
		t.Errorf("%d draws, weigh %v: online %.3f, items %.3f below the bound", draws, weigh, online, items)
	}
}
