package compare

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// target is a limit that section 1.8 of the design sets.
type target struct {
	name  string
	bound string
	// value returns the measured value for a seed, or NaN if a run is missing.
	value func(find func(scenario, policy string) *Result) float64
	met   func(value float64) bool
}

func atLeast(bound float64) func(float64) bool { return func(v float64) bool { return v >= bound } }
func atMost(bound float64) func(float64) bool  { return func(v float64) bool { return v <= bound } }
func under(bound float64) func(float64) bool   { return func(v float64) bool { return v < bound } }

// quotient returns a value function: a figure of one run divided by that of
// another.
func quotient(scenario, policy, baseScenario, base string, figure func(*Result) float64) func(func(string, string) *Result) float64 {
	return func(find func(string, string) *Result) float64 {
		a, b := find(scenario, policy), find(baseScenario, base)
		if a == nil || b == nil {
			return math.NaN()
		}
		return figure(a) / figure(b)
	}
}

// figureOf returns a value function: a figure of a run with PolicyOwn.
func figureOf(scenario string, figure func(*Result) float64) func(func(string, string) *Result) float64 {
	return func(find func(string, string) *Result) float64 {
		if r := find(scenario, PolicyOwn); r != nil {
			return figure(r)
		}
		return math.NaN()
	}
}

func targets() []target {
	goodput := func(r *Result) float64 { return r.Goodput }
	others := func(r *Result) float64 { return r.Others }
	worst := func(r *Result) float64 { return r.Worst }
	late := func(r *Result) float64 { return r.LateShare }
	quick := func(r *Result) float64 { return r.QuickRefusals }
	all := []target{
		{"mix_shift: goodput / least outstanding, static roles", ">= 1.5", quotient("mix_shift", PolicyOwn, "mix_shift", PolicyStaticRoles, goodput), atLeast(1.5)},
		{"mix_shift: goodput / oracle", ">= 0.9", quotient("mix_shift", PolicyOwn, "mix_shift", PolicyOracle, goodput), atLeast(0.9)},
		{"mix_shift_overload: goodput / least outstanding, static roles", ">= 1.5", quotient("mix_shift_overload", PolicyOwn, "mix_shift_overload", PolicyStaticRoles, goodput), atLeast(1.5)},
		{"mix_shift_overload: goodput / oracle", ">= 0.9", quotient("mix_shift_overload", PolicyOwn, "mix_shift_overload", PolicyOracle, goodput), atLeast(0.9)},
		{"flood: good work of the others / no_flood", ">= 0.97", quotient("flood", PolicyOwn, "no_flood", PolicyOwn, others), atLeast(0.97)},
	}
	for _, s := range Scenarios() {
		all = append(all, target{s.Name + ": worst-served customer / fair share", ">= 0.9", figureOf(s.Name, worst), atLeast(0.9)})
	}
	for _, s := range Scenarios() {
		all = append(all, target{s.Name + ": not refused and late", "< 0.03", figureOf(s.Name, late), under(0.03)})
	}
	for _, name := range []string{"overload", "flood", "batch", "mix_shift_overload"} {
		all = append(all, target{name + ": refusals decided within 5 ms", ">= 0.95", figureOf(name, quick), atLeast(0.95)})
	}
	return append(all,
		target{"mix_shift: role changes", "<= 2 per runner", figureOf("mix_shift", func(r *Result) float64 { return float64(r.RoleChanges) }), atMost(2 * float64(engineCount(currentFleet)))},
		target{"steady: work on cheap servers", ">= 0.4", figureOf("steady", func(r *Result) float64 { return r.CheapWork }), atLeast(0.4)},
		target{"eviction: failed requests", "<= steady", func(find func(string, string) *Result) float64 {
			a, b := find("eviction", PolicyOwn), find("steady", PolicyOwn)
			if a == nil || b == nil {
				return math.NaN()
			}
			return float64(a.Failed - b.Failed)
		}, atMost(0)},
	)
}

// PrintTargets writes each target with its values per seed. A target is met if
// every seed meets it. Targets without runs are left out.
func PrintTargets(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ntarget\tbound\tmet\tmean\tper seed")
	for _, t := range targets() {
		sum, text, met, n := 0.0, "", true, 0
		for _, seed := range seedsOf(results) {
			v := t.value(func(scenario, policy string) *Result { return find(results, scenario, policy, seed) })
			if math.IsNaN(v) {
				continue
			}
			n++
			sum += v
			met = met && t.met(v)
			text += fmt.Sprintf(" %.3f", v)
		}
		if n > 0 {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%.3f\t%s\n", t.name, t.bound, met, sum/float64(n), text[1:])
		}
	}
	return w.Flush()
}

func find(results []Result, scenario, policy string, seed uint64) *Result {
	for i := range results {
		if r := &results[i]; r.Scenario == scenario && r.Policy == policy && r.Seed == seed {
			return r
		}
	}
	return nil
}

func seedsOf(results []Result) []uint64 {
	var out []uint64
	seen := map[uint64]bool{}
	for _, r := range results {
		if !seen[r.Seed] {
			seen[r.Seed] = true
			out = append(out, r.Seed)
		}
	}
	return out
}
