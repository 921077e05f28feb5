// Package command holds the sub-commands of the mimosakeel program. They write
// to given writers and return exit codes, so that other programs and tests can
// run them.
package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/cli"
)

// Exit codes of Run.
const (
	ExitOK     = cli.ExitOK
	ExitFailed = cli.ExitFailed
	ExitUsage  = cli.ExitUsage
)

// httpTimeout bounds one request to a daemon or to the platform. It exceeds the
// longest wait of a log read.
const httpTimeout = 10 * time.Second

// Env holds the external dependencies of the sub-commands.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Now is the wall clock.
	Now func() time.Time
	// Random is a source of cryptographically secure random bytes.
	Random io.Reader
	HTTP   *http.Client
	// NewLog returns a client of the platform's log service at a base URL.
	// Commands that need the log service fail if it is nil.
	NewLog func(baseURL string, client *http.Client) hosting.Log
}

// NewEnv returns the dependencies of a real process, without NewLog.
func NewEnv(stdout, stderr io.Writer) *Env {
	return &Env{
		Stdin:  os.Stdin,
		Stdout: stdout,
		Stderr: stderr,
		Now:    time.Now,
		Random: rand.Reader,
		HTTP:   &http.Client{Timeout: httpTimeout},
	}
}

// Builder creates a sub-command. Programs pass the builders of other packages,
// such as serve and demo, to Run. Builders create their flag sets with Env.Flags.
type Builder func(env *Env) *ffcli.Command

// builders returns the builders of this package's sub-commands.
func builders() []Builder {
	return []Builder{checkCommand, tableCommand, keysCommand, statusCommand, timelineCommand, explainCommand}
}

// Run runs a command line, given without the program's name, and returns the exit
// code. It writes errors to env.Stderr. extra adds sub-commands.
func Run(ctx context.Context, env *Env, args []string, extra ...Builder) int {
	root := &ffcli.Command{
		Name:       "mimosakeel",
		ShortUsage: "mimosakeel <subcommand> [flags] [arguments]",
		ShortHelp:  "Serve language-model requests and operate the serving system.",
		LongHelp:   "Exit codes: 0 success, 1 failure, 2 wrong usage. `mimosakeel <subcommand> -h` explains a sub-command.",
		FlagSet:    env.Flags("mimosakeel"),
		Exec:       cli.NeedSubcommand,
	}
	for _, build := range append(builders(), extra...) {
		root.Subcommands = append(root.Subcommands, build(env))
	}
	return cli.Run(ctx, env.Stderr, root, args)
}

// UsageError reports a wrong command line.
type UsageError = cli.UsageError

func usagef(format string, args ...any) error { return cli.Usagef(format, args...) }

// Flags returns an empty flag set that prints to Stderr and never exits.
func (env *Env) Flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	return flags
}

// printf writes to Stdout.
func (env *Env) printf(format string, args ...any) {
	fmt.Fprintf(env.Stdout, format, args...)
}

// randomBytes returns n bytes from env.Random.
func (env *Env) randomBytes(n int) ([]byte, error) {
	data := make([]byte, n)
	if _, err := io.ReadFull(env.Random, data); err != nil {
		return nil, eris.Wrap(err, "read random bytes")
	}
	return data, nil
}
