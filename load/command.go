package load

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/internal/cli"
)

// Command returns the command with the sub-command run, which writes its
// report to out.
func Command(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "mimosakeel-load",
		ShortUsage:  "mimosakeel-load run [flags]",
		ShortHelp:   "generate load and check the answers",
		Subcommands: []*ffcli.Command{runCommand(out)},
		Exec:        cli.NeedSubcommand,
	}
}

// ErrBadAnswers is the error of a run with -check in which answers were
// truncated or wrong.
var ErrBadAnswers = eris.New("answers were truncated or wrong")

func runCommand(out io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("run", flag.ContinueOnError)
	urls := set.String("url", "", "comma-separated base URLs of the entry VMs")
	profile := set.String("profile", "none", "network latency to simulate: none, tamu or porte-vernice")
	asJSON := set.Bool("json", false, "write the report as JSON")
	check := set.Bool("check", false, "fail if an answer was truncated or wrong")
	maxOpen := set.Int("max-open", DefaultMaxOpen, "maximum number of open requests; further ones are counted as not sent")
	silence := set.Duration("silence", DefaultSilence, "time without any data after which a client cancels its request")
	workload := workloadFlags(set)
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "mimosakeel-load run -url URL [flags]",
		ShortHelp:  "send requests to running daemons in real time",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			chosen, ok := ProfileByName(*profile)
			if !ok {
				return eris.Errorf("profile %q is unknown", *profile)
			}
			if *urls == "" {
				return eris.New("-url is missing")
			}
			options := Options{URLs: strings.Split(*urls, ","), Profile: chosen, MaxOpen: *maxOpen, Silence: *silence}
			report, err := Run(ctx, workload(), options)
			if err != nil {
				return err
			}
			if err := write(out, report, *asJSON); err != nil {
				return err
			}
			if *check && report.Total.Cut+report.Total.Wrong > 0 {
				return ErrBadAnswers
			}
			return nil
		},
	}
}

func write(out io.Writer, report *Report, asJSON bool) error {
	if !asJSON {
		return report.Print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// Default lengths and shares: chat traffic with a long tail.
const (
	defaultPromptMedian = 400
	defaultOutputMedian = 80
	defaultSigma        = 0.8
	defaultMaxPrompt    = 16_000
	defaultMaxOutput    = 2_000
	defaultPrefixes     = 20
	defaultPrefixTokens = 512
	defaultPrefixShare  = 0.6
	defaultPatience     = 3 * time.Second
)

// workloadFlags registers the flags of a workload. The returned function builds
// the workload from the parsed flags.
func workloadFlags(set *flag.FlagSet) func() Workload {
	w := Workload{}
	first := Phase{
		Prompt: Lengths{Median: defaultPromptMedian, Sigma: defaultSigma, Max: defaultMaxPrompt},
		Output: Lengths{Median: defaultOutputMedian, Sigma: defaultSigma, Max: defaultMaxOutput},
	}
	var later []Phase
	set.Uint64Var(&w.Seed, "seed", 1, "seed of the arrivals")
	set.Float64Var(&w.Rate, "rate", 20, "requests per second")
	set.DurationVar(&w.Duration, "duration", 30*time.Second, "time over which requests arrive")
	set.StringVar(&w.Model, "model", "stand-in", "model that requests name")
	set.Float64Var(&first.Prompt.Median, "prompt", first.Prompt.Median, "median prompt length in tokens without prefix")
	set.Float64Var(&first.Output.Median, "output", first.Output.Median, "median answer length in tokens")
	set.Float64Var(&first.Prompt.Sigma, "prompt-sigma", first.Prompt.Sigma, "spread of the logarithm of prompt lengths")
	set.Float64Var(&first.Output.Sigma, "output-sigma", first.Output.Sigma, "spread of the logarithm of answer lengths")
	set.IntVar(&first.Prompt.Max, "prompt-max", first.Prompt.Max, "longest prompt in tokens")
	set.IntVar(&first.Output.Max, "output-max", first.Output.Max, "longest answer in tokens")
	set.IntVar(&w.Prefixes, "prefixes", defaultPrefixes, "shared prefixes per customer")
	set.IntVar(&w.PrefixTokens, "prefix-tokens", defaultPrefixTokens, "length of a shared prefix in tokens")
	set.Float64Var(&w.PrefixShare, "prefix-share", defaultPrefixShare, "fraction of the model requests with a shared prefix")
	set.Float64Var(&w.BatchShare, "batch-share", 0.2, "fraction of the model requests with batch priority")
	set.Float64Var(&w.UnstreamedShare, "unstreamed-share", 0.3, "fraction of the batch requests that are not streamed")
	set.DurationVar(&w.Patience, "patience", defaultPatience, "time without a first token after which an interactive client cancels; 0 means never")
	set.DurationVar(&w.Deadline, "deadline", 0, "first-token deadline that interactive requests carry; 0 means none")
	set.Float64Var(&w.LeaveShare, "leave-share", 0.02, "fraction of the streamed requests that are canceled during the answer")
	set.StringVar(&w.Service, "service", "", "plain service to call")
	set.Float64Var(&w.ServiceShare, "service-share", 0, "fraction of the requests that call the service")
	set.Float64Var(&w.StampShare, "stamp-share", 0.3, "fraction of the service calls that are stamps")
	set.Func("customer", "name,key,share of a customer, with the share relative to the others; may be repeated", func(text string) error {
		customer, err := parseCustomer(text)
		w.Customers = append(w.Customers, customer)
		return err
	})
	set.Func("shift", "from,prompt,output[,rate factor]: new median lengths from a time on; may be repeated", func(text string) error {
		phase, err := parseShift(text)
		later = append(later, phase)
		return err
	})
	return func() Workload {
		result := w
		result.Phases = []Phase{first}
		for _, phase := range later {
			phase.Prompt.Sigma, phase.Prompt.Max = first.Prompt.Sigma, first.Prompt.Max
			phase.Output.Sigma, phase.Output.Max = first.Output.Sigma, first.Output.Max
			result.Phases = append(result.Phases, phase)
		}
		if len(result.Customers) == 0 {
			result.Customers = []Customer{{Name: "customer", Share: 1}}
		}
		return result
	}
}

func parseCustomer(text string) (Customer, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return Customer{}, eris.Errorf("customer %q needs name,key,share", text)
	}
	share, err := strconv.ParseFloat(fields[2], 64)
	return Customer{Name: fields[0], Key: fields[1], Share: share}, eris.Wrapf(err, "customer %q", text)
}

func parseShift(text string) (Phase, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return Phase{}, eris.Errorf("shift %q needs from,prompt,output[,rate factor]", text)
	}
	from, err := time.ParseDuration(fields[0])
	if err != nil {
		return Phase{}, eris.Wrapf(err, "shift %q", text)
	}
	numbers := []float64{0, 0, 1}
	for i, field := range fields[1:] {
		if numbers[i], err = strconv.ParseFloat(field, 64); err != nil {
			return Phase{}, eris.Wrapf(err, "shift %q", text)
		}
	}
	return Phase{
		From:       from,
		Prompt:     Lengths{Median: numbers[0]},
		Output:     Lengths{Median: numbers[1]},
		RateFactor: numbers[2],
	}, nil
}
