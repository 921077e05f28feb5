package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	root "github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/cli"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const defaultModel = "stand-in"

// Command returns the command mimosakeel-standin with the sub-commands engine,
// app and platform. Each prints its address to out as one line of key=value
// pairs and runs until its context is canceled or an injected fault crashes it.
func Command(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "mimosakeel-standin",
		ShortUsage: "mimosakeel-standin <engine|app|platform> [flags]",
		ShortHelp:  "run a stand-in for a system that mimosakeel depends on",
		Subcommands: []*ffcli.Command{
			engineCommand(out),
			appCommand(out),
			platformCommand(out),
		},
		Exec: cli.NeedSubcommand,
	}
}

// listenOptions is the listen address of a stand-in and the latency to its
// callers.
type listenOptions struct {
	address string
	latency time.Duration
}

// listenFlags registers the flags of listenOptions.
func listenFlags(set *flag.FlagSet) *listenOptions {
	options := &listenOptions{}
	set.StringVar(&options.address, "listen", "127.0.0.1:0", "address to listen on")
	set.DurationVar(&options.latency, "distance", 0, "one-way latency to the callers")
	return options
}

// printAddress prints the line with the stand-in's address, which scripts
// parse.
func printAddress(out io.Writer, kind, name string, host *Host) {
	_, _ = fmt.Fprintf(out, "event=listening kind=%s name=%s url=%s addr=%s\n", kind, name, host.URL, host.Addr())
}

// engineFlags registers the flags of an engine's configuration and returns a
// function that reads the configuration after parsing.
func engineFlags(set *flag.FlagSet) func() engine.ServerConfig {
	base := engine.Default("engine", defaultModel)
	config := engine.ServerConfig{Engine: base}
	models := set.String("models", "", "comma-separated models that load orders may name; empty means any")
	adapters := set.String("adapters", "", "comma-separated adapters loaded at the start")
	set.StringVar(&config.Engine.Version, "model-version", "", "version of the model loaded at the start")
	role := set.String("role", string(base.Role), "role at the start: mixed, prefill or decode")
	set.StringVar(&config.Engine.Model, "model", base.Model, "model loaded at the start")
	set.Float64Var(&config.TimeScale, "time-scale", 1, "ratio of engine time to real time")
	set.DurationVar(&config.Heartbeat, "heartbeat", engine.DefaultHeartbeat, "real time between heartbeat comments")
	set.StringVar(&config.WeightsURL, "weights-url", "", "base URL of the platform whose weight store serves load orders")
	set.IntVar(&config.Engine.StepTokens, "step-tokens", base.StepTokens, "maximum tokens per step")
	set.IntVar(&config.Engine.MaxBatch, "max-batch", base.MaxBatch, "maximum sequences in the batch")
	set.IntVar(&config.Engine.MaxWaiting, "max-waiting", base.MaxWaiting, "maximum waiting requests; further requests are refused")
	set.IntVar(&config.Engine.KVTokens, "kv-tokens", base.KVTokens, "size of the KV memory in tokens")
	set.DurationVar(&config.Engine.StepBase, "step-base", base.StepBase, "fixed time of a step")
	set.DurationVar(&config.Engine.PerPrefillToken, "per-prefill-token", base.PerPrefillToken, "step time per prefill token")
	set.DurationVar(&config.Engine.PerSequence, "per-sequence", base.PerSequence, "step time per decoding sequence")
	set.DurationVar(&config.Engine.RoleChange, "role-change", base.RoleChange, "duration of a role change")
	set.DurationVar(&config.Engine.ModelLoad, "model-load", base.ModelLoad, "time to load a model")
	set.DurationVar(&config.Engine.LoadLag, "load-lag", base.LoadLag, "age of load reports")
	set.DurationVar(&config.Engine.CacheLag, "cache-lag", base.CacheLag, "delay after which cache events are published")
	return func() engine.ServerConfig {
		result := config
		result.Engine.Role = backend.Role(*role)
		result.Engine.Models = split(*models)
		result.Engine.Adapters = split(*adapters)
		return result
	}
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func engineCommand(out io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("engine", flag.ContinueOnError)
	options := listenFlags(set)
	id := set.String("id", "engine", "name of the engine")
	ignoreFence := set.Bool("ignore-fence", false, "accept orders with stale fencing tokens")
	config := engineFlags(set)
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "mimosakeel-standin engine [flags]",
		ShortHelp:  "run a stand-in engine",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			serverConfig := config()
			serverConfig.Engine.ID = *id
			serverConfig.IgnoreFence = *ignoreFence
			host, _, err := StartEngine(options.address, serverConfig, WithLatency(options.latency))
			if err != nil {
				return err
			}
			printAddress(out, "engine", *id, host)
			return host.Run(ctx)
		},
	}
}

func appCommand(out io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("app", flag.ContinueOnError)
	options := listenFlags(set)
	name := set.String("name", "app", "name of the service")
	return &ffcli.Command{
		Name:       "app",
		ShortUsage: "mimosakeel-standin app [flags]",
		ShortHelp:  "run a stand-in plain service",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			host, _, err := StartApp(options.address, *name, WithLatency(options.latency))
			if err != nil {
				return err
			}
			printAddress(out, "app", *name, host)
			return host.Run(ctx)
		},
	}
}

func platformCommand(out io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("platform", flag.ContinueOnError)
	config := platform.Config{}
	options := listenFlags(set)
	domains := set.String("failure-domains", "fd1,fd2,fd3,fd4", "comma-separated failure domains")
	onDemand := set.Int("on-demand", 0, "on-demand engines per failure domain at the start")
	cheap := set.Int("cheap", 0, "cheap engines per failure domain at the start")
	set.Float64Var(&config.AppendsPerSecond, "appends", platform.DefaultAppendsPerSecond, "maximum log appends per second")
	set.IntVar(&config.RetainRecords, "retain-records", 0, "records kept per log stream; 0 means all")
	set.DurationVar(&config.RetainFor, "retain-for", 0, "time for which records are kept; 0 means no limit")
	set.BoolVar(&config.KeepTrimmed, "keep-trimmed", false, "keep trimmed records for GET /audit/log/STREAM")
	set.BoolVar(&config.OrdersIgnoreFence, "orders-ignore-fence", false, "accept server orders with stale fencing tokens")
	set.BoolVar(&config.UsageIgnoresFence, "usage-ignores-fence", false, "accept usage reports with stale fencing tokens")
	set.DurationVar(&config.LeadTime, "lead-time", platform.DefaultLeadTime, "time until an ordered server is live")
	set.DurationVar(&config.StopNotice, "stop-notice", platform.DefaultStopNotice, "notice that a surplus server gets before it stops")
	set.DurationVar(&config.EvictNotice, "evict-notice", platform.DefaultEvictNotice, "notice that evicted servers get before they stop")
	set.DurationVar(&config.VMLag, "vm-lag", 0, "delay after which GET /vms returns a changed VM list")
	set.Func("vm", "id,address,failure-domain of a VM; may be repeated", func(text string) error {
		fields := strings.Split(text, ",")
		if len(fields) != 3 {
			return eris.Errorf("invalid vm %q: want id,address,failure-domain", text)
		}
		config.VMs = append(config.VMs, root.VM{ID: fields[0], Addr: fields[1], FailureDomain: fields[2], State: root.VMLive})
		return nil
	})
	set.Func("app", "id,service,failure-domain,url of a plain service; may be repeated", func(text string) error {
		fields := strings.SplitN(text, ",", 4)
		if len(fields) != 4 {
			return eris.Errorf("invalid app %q: want id,service,failure-domain,url", text)
		}
		config.Servers = append(config.Servers, root.Server{
			ID: fields[0], Service: fields[1], FailureDomain: fields[2], URL: fields[3],
			Class: root.ClassOnDemand, Kind: root.KindApp, State: root.ServerLive,
		})
		return nil
	})
	set.IntVar(&config.UncheckedEvery, "unchecked-every", 0, "make every n-th ordered server ignore fencing tokens; 0 means none")
	set.DurationVar(&config.CrashLag, "crash-lag", platform.DefaultCrashLag, "time until a crashed server is replaced")
	service := set.String("service", "", "plain service to run in each failure domain; empty means none")
	apps := set.Int("apps", 1, "servers of the plain service per failure domain")
	engines := engineFlags(set)
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "mimosakeel-standin platform [flags]",
		ShortHelp:  "run a stand-in platform",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			config.FailureDomains = split(*domains)
			if *service != "" {
				stop, err := startApps(&config, *options, *service, *apps)
				defer stop()
				if err != nil {
					return err
				}
			}
			host, standIn, err := StartPlatform(options.address, config, engines(), WithLatency(options.latency))
			if err != nil {
				return err
			}
			for _, domain := range config.FailureDomains {
				standIn.SetServerCounts(domain, *onDemand, *cheap)
			}
			printAddress(out, "platform", "platform", host)
			return host.Run(ctx)
		},
	}
}

// startApps starts count servers of a plain service in each failure domain and
// adds them to the platform's server list. The returned function stops them and
// must be called also after an error.
func startApps(config *platform.Config, options listenOptions, service string, count int) (stop func(), err error) {
	var hosts []*Host
	stop = func() {
		for _, host := range hosts {
			host.Stop()
		}
	}
	ip, _, err := net.SplitHostPort(options.address)
	if err != nil {
		return stop, eris.Wrapf(err, "parse listen address %s", options.address)
	}
	for _, domain := range config.FailureDomains {
		for i := range count {
			host, _, err := StartApp(net.JoinHostPort(ip, "0"), service, WithLatency(options.latency))
			if err != nil {
				return stop, err
			}
			hosts = append(hosts, host)
			config.Servers = append(config.Servers, root.Server{
				ID:            fmt.Sprintf("%s-%s-%d", domain, service, i+1),
				FailureDomain: domain,
				Class:         root.ClassOnDemand,
				Kind:          root.KindApp,
				Service:       service,
				URL:           host.URL,
				State:         root.ServerLive,
			})
		}
	}
	return stop, nil
}
