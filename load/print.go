package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("seed %d, %.1f s planned, %.1f s elapsed, %d requests", r.Seed, r.PlannedSeconds, r.ElapsedSeconds, r.OfferedRequests)
	line("\t")
	line("group\trequests\tgood/s\tgood %%\twhole\tlate\trefused\tleft waiting\tleft reading\tcut\twrong\terrors\tnot sent\ttokens out")
	r.Total.print(line, "total")
	for _, kind := range slices.Sorted(maps.Keys(r.ByKind)) {
		r.ByKind[kind].print(line, string(kind))
	}
	for _, name := range slices.Sorted(maps.Keys(r.ByCustomer)) {
		r.ByCustomer[name].print(line, "customer "+name)
	}
	line("worst-served customer\t%s", r.WorstCustomer)
	line("\t")
	line("time\tcount\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	r.FirstToken.print(line, "first token")
	r.Gap.print(line, "between tokens")
	r.Answer.print(line, "whole answer")
	r.Service.print(line, "service call")
	r.Decision.print(line, "refusal decision")
	r.Lag.print(line, "generator lag")
	for _, refusal := range slices.Sorted(maps.Keys(r.Refusals)) {
		line("refusal\t%d\t%s", r.Refusals[refusal], refusal)
	}
	for _, problem := range slices.Sorted(maps.Keys(r.Problems)) {
		line("problem\t%d\t%s", r.Problems[problem], problem)
	}
	return table.Flush()
}

func (c *Counts) print(line func(string, ...any), name string) {
	line("%s\t%d\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", name, c.Requests, c.GoodPerSecond, 100*c.GoodShare,
		c.Whole, c.Late, c.Refused, c.LeftWaiting, c.LeftReading, c.Cut, c.Wrong, c.Errors, c.NotSent, c.TokensOut)
}

func (q Quantiles) print(line func(string, ...any), name string) {
	line("%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f", name, q.Count, q.P50, q.P95, q.P99, q.Max)
}
