// Package demo implements the sub-command demo. It runs daemons and stand-ins in
// one process on loopback, sends requests, injects failures and checks the answers.
package demo

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/command"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 2 * time.Minute

// Command returns the sub-command demo.
func Command(env *command.Env) *ffcli.Command {
	flags := env.Flags("demo")
	html := flags.String("html", "", "write the timeline as an HTML page to this `file`")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "mimosakeel demo [-html FILE]",
		ShortHelp:  "Run the system in one process on loopback, and demonstrate failover.",
		LongHelp: "Starts daemons, engines, a plain service and a stand-in of the platform, serves real\n" +
			"requests through a table edit, a key withdrawal, a killed engine and a planned stop, and\n" +
			"checks every answer. Needs no settings. Fails if a step doesn't have the expected result.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &command.UsageError{Message: "demo takes no arguments"}
			}
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			s := &session{out: env.Stdout}
			if err := s.run(ctx); err != nil {
				return err
			}
			return writePage(*html, s)
		},
	}
}

func writePage(path string, s *session) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create the timeline page")
	}
	if err := s.writeHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
