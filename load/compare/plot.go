package compare

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 28 * vg.Centimeter
)

// panel describes one plot over time in a picture.
type panel struct {
	title, unit string
	value       func(*Point) float64
	// fromZero starts the vertical axis at 0.
	fromZero bool
}

var panels = []panel{
	{"Goodput", "good requests/s", func(p *Point) float64 { return p.Goodput }, true},
	{"Worst-served customer", "share of good requests", func(p *Point) float64 { return p.Worst }, true},
	{"Roles", "engines in the role prefill or decode", func(p *Point) float64 { return p.Split }, true},
	{"Spend", "on-demand servers (weighted)", func(p *Point) float64 { return p.Spend }, true},
}

// Plot writes one picture per scenario into a directory, as SVG and PNG. It shows
// the means over the seeds by time of arrival.
func Plot(dir string, results []Result) error {
	scenarios := map[string][][]Result{}
	for _, runs := range group(results) {
		scenarios[runs[0].Scenario] = append(scenarios[runs[0].Scenario], runs)
	}
	for _, name := range sortedKeys(scenarios) {
		plots, err := drawPanels(name, scenarios[name])
		if err != nil {
			return eris.Wrapf(err, "plot of %s", name)
		}
		if err := save(filepath.Join(dir, "compare-"+name), plots); err != nil {
			return eris.Wrapf(err, "plot of %s", name)
		}
	}
	return nil
}

func drawPanels(name string, policies [][]Result) ([]*plot.Plot, error) {
	var plots []*plot.Plot
	for _, pn := range panels {
		p := plot.New()
		p.Title.Text = name + ": " + pn.title
		p.X.Label.Text = "seconds"
		p.Y.Label.Text = pn.unit
		p.Legend.Top = false
		p.Legend.Left = true
		p.Add(plotter.NewGrid())
		for i, runs := range policies {
			line, err := plotter.NewLine(meanSeries(runs, pn.value))
			if err != nil {
				return nil, eris.Wrap(err, runs[0].Policy)
			}
			line.Color = plotutil.Color(i)
			line.Dashes = plotutil.Dashes(i)
			line.Width = vg.Points(1.2)
			p.Add(line)
			if len(plots) == 0 {
				p.Legend.Add(runs[0].Policy, line)
			}
		}
		if pn.fromZero {
			p.Y.Min = 0
		}
		p.Y.Max = max(p.Y.Max*1.05, 1)
		plots = append(plots, p)
	}
	return plots, nil
}

// meanSeries returns the mean of a value over the seeds, by time of arrival.
func meanSeries(runs []Result, value func(*Point) float64) plotter.XYs {
	points := make(plotter.XYs, len(runs[0].Series))
	for i := range points {
		points[i].X = runs[0].Series[i].Second
		for r := range runs {
			points[i].Y += value(&runs[r].Series[i]) / float64(len(runs))
		}
	}
	return points
}
