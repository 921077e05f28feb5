// Package compare simulates scheduling policies in virtual time. It drives the
// pool state machine and the core of the stand-in engine with the same arrivals
// for each policy, without network and daemons.
package compare

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/load"
)

const (
	defaultSeeds     = 5
	defaultCheapCost = 0.35
)

// Command returns the sub-command compare, which writes its report to out.
func Command(out io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("compare", flag.ContinueOnError)
	scenarios := set.String("scenarios", "", "comma-separated scenarios; empty means all")
	policies := set.String("policies", "", "comma-separated policies; empty means all")
	profile := set.String("profile", "tamu", "network latency to simulate: none, tamu or porte-vernice")
	seeds := set.Int("seeds", defaultSeeds, "number of repetitions, with seeds from 1")
	cheap := set.Float64("cheap-cost", defaultCheapCost, "cost of a cheap server relative to an on-demand one")
	workers := set.Int("workers", 0, "number of concurrent runs; 0 means one per processor")
	asJSON := set.Bool("json", false, "write all runs as JSON")
	plots := set.String("plots", "", "directory for plots as SVG and PNG; empty means none")
	from := set.String("from", "", "report the runs in this JSON file instead of new ones")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "mimosakeel-load compare [flags]",
		ShortHelp:  "compare scheduling policies in virtual time",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			if *from != "" {
				results, err := readResults(*from)
				if err != nil {
					return err
				}
				return writeReport(out, results, *asJSON, *plots)
			}
			chosen, ok := load.ProfileByName(*profile)
			if !ok {
				return eris.Errorf("profile %q is unknown", *profile)
			}
			o := Options{Profile: chosen, CheapCost: *cheap, Workers: *workers}
			var err error
			if o.Scenarios, err = selectByName(Scenarios(), *scenarios, func(s Scenario) string { return s.Name }); err != nil {
				return err
			}
			if o.Policies, err = selectByName(Policies(), *policies, func(p Policy) string { return p.Name }); err != nil {
				return err
			}
			for i := range *seeds {
				o.Seeds = append(o.Seeds, uint64(i+1))
			}
			results, err := Run(ctx, o)
			if err != nil {
				return err
			}
			return writeReport(out, results, *asJSON, *plots)
		},
	}
}

func readResults(name string) ([]Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read runs")
	}
	var results []Result
	err = json.Unmarshal(data, &results)
	return results, eris.Wrapf(err, "runs in %s", name)
}

func writeReport(out io.Writer, results []Result, asJSON bool, plots string) error {
	if plots != "" {
		if err := Plot(plots, results); err != nil {
			return err
		}
	}
	if asJSON {
		return json.NewEncoder(out).Encode(results)
	}
	if err := Print(out, results); err != nil {
		return err
	}
	return PrintTargets(out, results)
}

// selectByName returns the elements of all whose names are in a comma-separated
// list, in the order of all, or all elements if the list is empty.
func selectByName[T any](all []T, list string, name func(T) string) ([]T, error) {
	if list == "" {
		return all, nil
	}
	wanted := map[string]bool{}
	for _, n := range strings.Split(list, ",") {
		wanted[n] = true
	}
	var out []T
	for _, item := range all {
		if wanted[name(item)] {
			out = append(out, item)
			delete(wanted, name(item))
		}
	}
	for n := range wanted {
		return nil, eris.Errorf("%q is unknown", n)
	}
	return out, nil
}
