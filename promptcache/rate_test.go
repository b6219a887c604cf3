package promptcache

import (
	"math"
	"math/rand/v2"
	"testing"
)

// learn returns the rate learned from n requests that read small or large prompts at a rate, where
// the given share of the first events is late for another reason.
func learn(n int, rate, large, outliers float64) float64 {
	r := rand.New(rand.NewPCG(1, 2))
	var x Rate
	for range n {
		tokens := 350 + 200*r.Float64()
		if r.Float64() < large {
			tokens += 13_300
		}
		took := 40 + 5*r.NormFloat64() + tokens/rate
		if r.Float64() < outliers {
			took += 1000 * r.Float64()
		}
		x.Observe(tokens, took)
	}
	return x.TokensPerMillisecond()
}

// TestRateIsLearned guards against a rate that is not learned from large prompts, or that stalls
// of engines distort.
func TestRateIsLearned(t *testing.T) {
	for _, rate := range []float64{20, 78.6, 101, 400} {
		for _, outliers := range []float64{0, 0.05} {
			if got := learn(600, rate, 0.2, outliers); math.Abs(got-rate) > 0.25*rate {
				t.Errorf("learned %.1f tokens a millisecond of %.1f, with %.0f %% outliers", got, rate, 100*outliers)
			}
		}
	}
}

// TestSmallPromptsTeachLittle guards against a rate that is learned from noise: prompts that
// differ by a few tokens differ by less than events vary.
func TestSmallPromptsTeachLittle(t *testing.T) {
	for _, outliers := range []float64{0, 0.05} {
		if got := learn(5000, 101, 0, outliers); got < DefaultRate/2 || got > DefaultRate*2 {
			t.Errorf("learned %.1f tokens a millisecond, with %.0f %% outliers", got, 100*outliers)
		}
	}
}

// TestRateIsBounded guards against measurements that make no sense.
func TestRateIsBounded(t *testing.T) {
	for _, x := range [][2]float64{{1e6, 1e9}, {1e6, -1e9}, {-1, 5}, {100, math.NaN()}, {100, math.Inf(1)}, {0, 0}} {
		var r Rate
		for i := range 100 {
			r.Observe(x[0]*float64(i%2), x[1])
			r.Observe(500, 45)
		}
		if got := r.TokensPerMillisecond(); math.IsNaN(got) || got < minRate || got > maxRate {
			t.Errorf("measurements %v: %f", x, got)
		}
	}
}

// TestFalseClaimsTeachLittle guards against a client that claims prompts of far more tokens than it
// sends: the rate would be learned from it alone, and the time to read a prompt no longer count for
// anyone.
func TestFalseClaimsTeachLittle(t *testing.T) {
	for _, claim := range []float64{50_000, 150_000, 1 << 22} {
		r := rand.New(rand.NewPCG(1, 2))
		var x Rate
		for i := range 600 {
			tokens := 350 + 200*r.Float64()
			if i%5 == 0 {
				tokens += 13_300
			}
			x.Observe(tokens, 40+5*r.NormFloat64()+tokens/100)
			if i%100 == 99 {
				x.Observe(claim, 45)
			}
		}
		if got := x.TokensPerMillisecond(); got < 70 || got > 140 {
			t.Errorf("learned %.1f tokens a millisecond of 100, with claims of %.0f tokens", got, claim)
		}
	}
}
