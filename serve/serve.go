// Package serve implements the subcommand serve, which runs a daemon.
package serve

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/command"
	"github.com/mimosakeel/mimosakeel/daemon"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/settings"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "MIMOSAKEEL"

// eventFileMode lets only the owner read the event file, because it contains
// customer names and request ids.
const eventFileMode = 0o600

// Command returns the subcommand serve. Log lines go to env.Stdout.
func Command(env *command.Env) *ffcli.Command {
	flags := env.Flags("serve")
	file := flags.String("config", "", "settings `file`, JSON with comments")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "mimosakeel serve -config FILE",
		ShortHelp:  "Run the daemon of this VM.",
		LongHelp: "Serves clients until SIGTERM or SIGINT. Then it reports not ready on /readyz, waits\n" +
			"process.drain_grace, completes all requests, releases its leases and exits.\n" +
			"Flags can also be set as environment variables, for example MIMOSAKEEL_CONFIG.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return &command.UsageError{Message: "serve needs -config FILE and takes no arguments"}
			}
			return Run(ctx, *file, env.Stdout)
		},
	}
}

// Run runs a daemon with the settings file until the context ends.
func Run(ctx context.Context, file string, out io.Writer) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if err := s.CheckFiles(file).Err(); err != nil {
		return err
	}
	keys, err := peer.LoadKeys(s.Peers.CA, s.Peers.Cert, s.Peers.Key)
	if err != nil {
		return err
	}
	clock := hlc.New(time.Now)
	events, err := openEvents(s, clock, out)
	if err != nil {
		return err
	}
	defer events.Close()
	client := httpapi.New(s.Platform.URL, nil)
	d, err := daemon.Start(daemon.Config{
		Settings: s,
		Platform: daemon.Platform{Log: client, Servers: client.Servers(), Usage: client, VMs: client.VMs()},
		Keys:     keys,
		Events:   daemon.NewRecorder(events),
		Clock:    clock,
		Pool:     pool.DefaultConfig(),
	})
	if err != nil {
		return eris.Wrap(err, "start")
	}
	return d.Run(ctx)
}

// openEvents opens the event file and the logger, and returns the recorder that
// writes to both.
func openEvents(s settings.Settings, clock *hlc.Clock, out io.Writer) (*event.Recorder, error) {
	logger, err := event.NewLogger(out, s.Events.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "events.log_level")
	}
	var lines io.Writer
	if s.Events.File != "" {
		file, err := os.OpenFile(s.Events.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, eventFileMode)
		if err != nil {
			return nil, eris.Wrap(err, "events.file")
		}
		lines = file
	}
	return event.NewRecorder(clock, s.Process.VM, lines, logger), nil
}
