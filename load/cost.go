package load

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
)

// CostPoint is what the daemons used at one load.
type CostPoint struct {
	// Rate is in requests a second over the fleet, Tokens the length of each
	// answer.
	Rate   float64 `json:"requests_per_s"`
	Tokens int     `json:"tokens"`
	// Requests and TokensOut were answered in Seconds.
	Requests  int64   `json:"requests"`
	TokensOut int64   `json:"tokens_out"`
	Seconds   float64 `json:"seconds"`
	// Cores is the sum of the daemons' use of processor time, in cores.
	Cores float64 `json:"cores"`
	// MemoryMean and MemoryMax are the daemons' resident memory in MB.
	MemoryMean float64 `json:"memory_mean_mb"`
	MemoryMax  float64 `json:"memory_max_mb"`
	// ControlBytes is what one daemon exchanged on average with other hosts and
	// the platform, both ways, in bytes a second.
	ControlBytes float64 `json:"control_bytes_per_s_per_host"`
}

// Cost is how the daemons' processor time grows with load.
type Cost struct {
	Hosts   int         `json:"hosts"`
	Engines int         `json:"engines"`
	Points  []CostPoint `json:"points"`
	// IdleCores is used by one daemon without load, in cores.
	IdleCores float64 `json:"idle_cores_per_host"`
	// MicrosPerRequest and MicrosPerToken are processor time in microseconds.
	MicrosPerRequest float64 `json:"cpu_us_per_request"`
	MicrosPerToken   float64 `json:"cpu_us_per_token"`
}

const (
	bytesPerMB      = 1 << 20
	microsPerSecond = 1e6
	costUnknowns    = 3
)

// MeasureCost runs the online profile at each rate with each answer length and
// fits the daemons' processor time to requests and tokens by least squares. A
// single rate is only measured, not fitted.
func MeasureCost(ctx context.Context, f *Fleet, o *Options, rates []float64, tokens []int) (*Cost, error) {
	c := &Cost{Hosts: len(f.Callers), Engines: len(f.Engines)}
	for _, rate := range rates {
		for _, n := range tokens {
			p, err := costPoint(ctx, f, o, rate, n)
			if err != nil {
				return nil, err
			}
			c.Points = append(c.Points, p)
		}
	}
	if len(rates) == 1 {
		return c, nil
	}
	return c, c.fit()
}

func costPoint(ctx context.Context, f *Fleet, o *Options, rate float64, tokens int) (CostPoint, error) {
	point := CostPoint{Rate: rate, Tokens: tokens}
	before, err := fleetUsage(ctx, f, o)
	if err != nil {
		return point, err
	}
	start := time.Now()
	if rate > 0 {
		p := o.online()
		p.Rate = rate
		p.MaxTokens = tokens
		r := Online(ctx, f, o.Client, p, o.Seed, o.Phase)
		point.Requests, point.TokensOut = r.Total.Count, r.Tokens
	} else {
		sleepUntil(ctx, start.Add(o.Phase))
	}
	point.Seconds = time.Since(start).Seconds()
	after, err := fleetUsage(ctx, f, o)
	if err != nil {
		return point, err
	}
	point.compare(before, after)
	return point, nil
}

func fleetUsage(ctx context.Context, f *Fleet, o *Options) ([]usage, error) {
	out := make([]usage, 0, len(f.Operators))
	for _, operators := range f.Operators {
		u, err := readUsage(ctx, o.Client, operators)
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func (p *CostPoint) compare(before, after []usage) {
	for i := range after {
		p.Cores += (after[i].cpuSeconds - before[i].cpuSeconds) / p.Seconds
		mb := after[i].memoryBytes / bytesPerMB
		p.MemoryMean += mb / float64(len(after))
		p.MemoryMax = max(p.MemoryMax, mb)
		control := after[i].controlBytes - before[i].controlBytes
		p.ControlBytes += control / p.Seconds / float64(len(after))
	}
}

// fit solves cores = idle + a*requests/s + b*tokens/s over the points.
func (c *Cost) fit() error {
	rows := len(c.Points)
	if rows < costUnknowns {
		return errors.Errorf("%d points do not fix %d unknowns", rows, costUnknowns)
	}
	inputs := mat.NewDense(rows, costUnknowns, nil)
	cores := mat.NewVecDense(rows, nil)
	for i, p := range c.Points {
		inputs.SetRow(i, []float64{1, float64(p.Requests) / p.Seconds, float64(p.TokensOut) / p.Seconds})
		cores.SetVec(i, p.Cores)
	}
	var solved mat.VecDense
	if err := solved.SolveVec(inputs, cores); err != nil {
		return errors.Wrap(err, "fit costs")
	}
	c.IdleCores = solved.AtVec(0) / float64(c.Hosts)
	c.MicrosPerRequest = solved.AtVec(1) * microsPerSecond
	c.MicrosPerToken = solved.AtVec(2) * microsPerSecond
	return nil
}
