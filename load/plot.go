package load

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots draws the latency curves of the measures into PNG files in dir.
func WritePlots(dir string, reports []*Report) error {
	harm := func(r *Report) (*Result, *Result) { return &r.Harm.Without, &r.Harm.With }
	blocking := func(r *Report) (*Result, *Result) { return &r.Blocking.Without, &r.Blocking.With }
	slowed := func(r *Report) (*Result, *Result) { return &r.Slowed.Without, &r.Slowed.With }
	if err := drawCurves(filepath.Join(dir, "harm.png"), "Online beside batch", reports, harm); err != nil {
		return err
	}
	if err := drawCurves(filepath.Join(dir, "blocking.png"), "Short behind long", reports, blocking); err != nil {
		return err
	}
	return drawCurves(filepath.Join(dir, "slowed.png"), "Some endpoints slowed", reports, slowed)
}

func drawCurves(file, title string, reports []*Report, pick func(*Report) (*Result, *Result)) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "total latency, ms"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, r := range reports {
		without, with := pick(r)
		lines = append(lines, r.Label+", without", points(without), r.Label+", with", points(with))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw "+title)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save "+title)
}

func points(r *Result) plotter.XYs {
	out := make(plotter.XYs, len(r.Curve))
	for i, v := range r.Curve {
		out[i] = plotter.XY{X: float64(i + 1), Y: v}
	}
	return out
}
