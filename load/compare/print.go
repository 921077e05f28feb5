package compare

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Spread holds the mean, lowest and highest of a value over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spread(results []Result, value func(*Result) float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for i := range results {
		v := value(&results[i])
		s.Mean += v / float64(len(results))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

// group groups consecutive results of the same scenario and policy.
func group(results []Result) [][]Result {
	var out [][]Result
	for i, r := range results {
		if i == 0 || r.Scenario != results[i-1].Scenario || r.Policy != results[i-1].Policy {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}

// Print writes a table per scenario with the means over the seeds, and the lowest
// and highest goodput.
func Print(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	previous := ""
	for _, runs := range group(results) {
		if name := runs[0].Scenario; name != previous {
			previous = name
			_, _ = fmt.Fprintf(w, "\n%s (%d seeds)\n", name, len(runs))
			_, _ = fmt.Fprintln(w, "policy\tgood/s\tmin..max\tgood %\trefused %\tlate %\tslow %\tfailed\tworst\tfirst p50/p95 ms\tbetween p95\tquick refusals %\tcheap work %\tspend\tbatch %")
		}
		mean := func(value func(*Result) float64) float64 { return spread(runs, value).Mean }
		percent := func(part func(*Result) int, of func(*Result) int) float64 {
			return mean(func(r *Result) float64 { return 100 * ratio(part(r), of(r)) })
		}
		offered := func(r *Result) int { return r.Offered }
		good := spread(runs, func(r *Result) float64 { return r.Goodput })
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f..%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f/%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			runs[0].Policy, good.Mean, good.Min, good.Max,
			percent(func(r *Result) int { return r.Good }, offered),
			percent(func(r *Result) int { return r.Refused }, offered),
			mean(func(r *Result) float64 { return 100 * r.LateShare }),
			percent(func(r *Result) int { return r.Slow }, offered),
			mean(func(r *Result) float64 { return float64(r.Failed) }),
			mean(func(r *Result) float64 { return r.Worst }),
			mean(func(r *Result) float64 { return r.FirstP50 }),
			mean(func(r *Result) float64 { return r.FirstP95 }),
			mean(func(r *Result) float64 { return r.BetweenP95 }),
			mean(func(r *Result) float64 { return 100 * r.QuickRefusals }),
			mean(func(r *Result) float64 { return 100 * r.CheapWork }),
			mean(func(r *Result) float64 { return r.Spend }),
			percent(func(r *Result) int { return r.BatchWhole }, func(r *Result) int { return r.BatchOffered }))
	}
	return w.Flush()
}
