package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

// The replays of quotas run the scheduler cores, participation and logs of many hosts with delayed
// messages, in steps of virtual time.

const (
	quotaStep = 10 * time.Millisecond
	// closeSeen is the time until the end of a process is seen at the other end of its sessions.
	closeSeen = 30 * time.Millisecond
	// configurationSpread is the time within which all hosts read a new configuration.
	configurationSpread = 600 * time.Millisecond
)

var quotaOptions = quota.Options{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// usualTenants returns workspaces of several sizes at their usual rates, and one that sends 7.5 times as
// much from time to time.
func usualTenants() []quotaTenant {
	var out []quotaTenant
	for i := range 10 {
		usual := []float64{1, 3, 8, 25}[i%4]
		out = append(out, quotaTenant{usual: usual, burst: 2 * usual})
	}
	out[3].factor = inTimes(7.5, 6*time.Second, 3*time.Second)
	return out
}

// inTimes returns a factor for some time of every period.
func inTimes(factor float64, period, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < length {
			return factor
		}
		return 1
	}
}

func between(at, from, until time.Duration) bool { return at >= from && at < until }

const quotaReplayLength = 25 * time.Second

// TestQuotasInCalm replays usual workspaces, one that sends 7.5 times its usual, one that uses a single
// host, uneven balancing, and all at once: bounds hold, and at most one in a thousand requests
// within quotas is refused.
func TestQuotasInCalm(t *testing.T) {
	tenants := map[string]func() []quotaTenant{
		"usual": usualTenants,
		"a single host": func() []quotaTenant {
			out := usualTenants()
			out[3].host = func(*rand.Rand, int) int { return 4 }
			out[2].host = func(*rand.Rand, int) int { return 0 }
			return out
		},
		"uneven": func() []quotaTenant {
			out := usualTenants()
			for i := range out {
				out[i].host = func(random *rand.Rand, hosts int) int { return int(float64(hosts) * math.Pow(random.Float64(), 3)) }
			}
			return out
		},
		"all at once": func() []quotaTenant {
			out := usualTenants()
			for i := range out {
				out[i].factor = inTimes(5, 8*time.Second, 3*time.Second)
			}
			return out
		},
	}
	for name, make := range tenants {
		for _, hosts := range []int{10, 61, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				w := newQuotaWorld(hosts, make(), quotaFaults{}, quotaPlanted{}, uint64(hosts))
				w.run(quotaReplayLength)
				if tenant, excess := w.worstExcess(); excess > 0 {
					t.Errorf("workspace %d is %.1f %% above its bound", tenant, 100*excess)
				}
				if share := w.refusedWithin(); share > 0.001 {
					t.Errorf("%.2f %% of the requests within quotas are refused", 100*share)
				}
			})
		}
	}
}

// quotaFaultsOf are the faults under which the bounds are replayed.
func quotaFaultsOf(hosts int) map[string]quotaFaults {
	half := func(a int) bool { return a%2 == 0 }
	return map[string]quotaFaults{
		"the scheduler ends": {
			down: func(host int, at time.Duration) bool { return host == 0 && at >= 8*time.Second },
		},
		"schedulers end in turn and start again": {
			down: func(host int, at time.Duration) bool {
				return host < 4 && between(at, time.Duration(6+4*host)*time.Second, time.Duration(7+4*host)*time.Second)
			},
		},
		"hosts come and go": {
			down: func(host int, at time.Duration) bool {
				return host%3 == 1 && between(at%(9*time.Second), time.Duration(3000+host*20)*time.Millisecond, time.Duration(4500+host*20)*time.Millisecond)
			},
		},
		"the scheduler and a third of the hosts end": {
			down: func(host int, at time.Duration) bool { return host%3 == 0 && at >= 8*time.Second },
		},
		"all hosts start again": {
			down: func(_ int, at time.Duration) bool { return between(at, 8*time.Second, 9*time.Second) },
		},
		"the scheduler stands still": {
			frozen: func(host int, at time.Duration) bool {
				return host == 0 && (between(at, 8*time.Second, 8200*time.Millisecond) || between(at, 9*time.Second, 9600*time.Millisecond) || between(at, 13*time.Second, 16*time.Second))
			},
		},
		"a host stands still": {
			frozen: func(host int, at time.Duration) bool { return host == 4 && between(at, 8*time.Second, 11*time.Second) },
		},
		"halves are cut off from each other": {
			cut: func(a, b int, at time.Duration) bool {
				return half(a) != half(b) && between(at, 8*time.Second, 16*time.Second)
			},
		},
		"a few hosts are cut off, with the store away": {
			cut: func(a, b int, at time.Duration) bool {
				return (a < hosts/10) != (b < hosts/10) && between(at, 8*time.Second, 14*time.Second)
			},
			storeCut: func(_ int, at time.Duration) bool { return between(at, 7*time.Second, 15*time.Second) },
		},
		"each host is cut off": {
			cut: func(_, _ int, at time.Duration) bool { return between(at, 8*time.Second, 14*time.Second) },
		},
	}
}

// hotTenants returns workspaces that send more than their quotas at all times, two of them by a single
// host, with bursts that are large compared to what a quota may be exceeded by.
func hotTenants() []quotaTenant {
	hot := func(time.Duration) float64 { return 7.5 }
	return []quotaTenant{
		{usual: 12, burst: 60, factor: hot},
		{usual: 12, burst: 60, factor: hot, host: func(*rand.Rand, int) int { return 0 }},
		{usual: 12, burst: 60, factor: hot, host: func(*rand.Rand, int) int { return 4 }},
		{usual: 2, burst: 2, factor: hot},
		{usual: 12, burst: 60, factor: inTimes(7.5, 4*time.Second, 2*time.Second)},
	}
}

// TestQuotasUnderFaults replays workspaces that send more than their quotas while hosts and links fail:
// in every window, no more than the bound is admitted.
func TestQuotasUnderFaults(t *testing.T) {
	for _, hosts := range []int{10, 61, 300} {
		for name, faults := range quotaFaultsOf(hosts) {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				w := newQuotaWorld(hosts, hotTenants(), faults, quotaPlanted{}, uint64(hosts))
				w.run(quotaReplayLength)
				for i := range w.tenants {
					if excess := w.excess(i, 1.6*w.tenants[i].usual, 0); excess > 0 {
						t.Errorf("workspace %d is %.1f %% above its bound", i, 100*excess)
					}
				}
			})
		}
	}
}

// TestQuotaReplaysShowFaults plants faults in what schedulers are told and do: the replays show each.
func TestQuotaReplaysShowFaults(t *testing.T) {
	const hosts = 61
	for _, c := range []struct {
		faults  string
		planted quotaPlanted
	}{
		{"the scheduler stands still", quotaPlanted{noHistory: true}},
		{"schedulers end in turn and start again", quotaPlanted{noHistory: true, noReplicas: true}},
		{"schedulers end in turn and start again", quotaPlanted{noReplicas: true}},
		{"halves are cut off from each other", quotaPlanted{noShare: true}},
		{"each host is cut off", quotaPlanted{noShare: true}},
	} {
		w := newQuotaWorld(hosts, hotTenants(), quotaFaultsOf(hosts)[c.faults], c.planted, hosts)
		w.run(quotaReplayLength)
		if tenant, excess := w.worstExcess(); excess < 0.02 {
			t.Errorf("%s, with %+v: workspace %d is %.1f %% above its bound: the replay shows nothing", c.faults, c.planted, tenant, 100*excess)
		}
	}
}

// TestUsualWorkspacesUnderFaults replays workspaces that keep to their quotas while schedulers end and
// stand still, and halves are cut off from each other: takeovers hardly refuse requests.
func TestUsualWorkspacesUnderFaults(t *testing.T) {
	for _, hosts := range []int{10, 61} {
		for _, name := range []string{
			"the scheduler ends", "schedulers end in turn and start again", "a host stands still", "the scheduler stands still",
			"hosts come and go", "the scheduler and a third of the hosts end", "halves are cut off from each other",
		} {
			w := newQuotaWorld(hosts, usualTenants(), quotaFaultsOf(hosts)[name], quotaPlanted{}, uint64(hosts))
			w.run(quotaReplayLength)
			if share := w.refusedWithin(); share > 0.01 {
				t.Errorf("%s, %d hosts: %.2f %% of the requests within quotas are refused", name, hosts, 100*share)
			}
		}
	}
}

// TestLoweredQuota lowers a limit, and another one below what is sent: within a window after all hosts
// have read it, the lower bound holds, and what is within it is admitted.
func TestLoweredQuota(t *testing.T) {
	const changed = 10 * time.Second
	lowered := func(before, after float64) func(time.Duration) (float64, int64) {
		return func(at time.Duration) (float64, int64) {
			if at < changed {
				return before, 1
			}
			return after, 2
		}
	}
	for _, hosts := range []int{10, 61, 300} {
		tenants := []quotaTenant{
			{usual: 10, burst: 20, limit: lowered(160, 16)},
			{usual: 100, burst: 20, limit: lowered(160, 16)},
		}
		w := newQuotaWorld(hosts, tenants, quotaFaults{}, quotaPlanted{}, uint64(hosts))
		w.run(quotaReplayLength)
		for i := range tenants {
			if excess := w.excess(i, 16, changed+configurationSpread); excess > 0 {
				t.Errorf("%d hosts: workspace %d is %.1f %% above its lowered bound", hosts, i, 100*excess)
			}
		}
		if share := w.refusedWithin(); share > 0.001 {
			t.Errorf("%d hosts: %.2f %% of the requests within quotas are refused", hosts, 100*share)
		}
	}
}
