// Package cli runs the commands of the programs and turns their outcomes into
// exit codes.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed means that the command was understood, but failed.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong; nothing was done.
	ExitUsage = 2
)

// UsageError reports a wrong command line.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// Usagef returns a *UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// NeedSubcommand is the Exec of a command that only has sub-commands. It fails
// with *UsageError and names a word that is none of them.
func NeedSubcommand(_ context.Context, args []string) error {
	if len(args) == 0 {
		return Usagef("name a sub-command; -h lists them")
	}
	return Usagef("%q is no sub-command; -h lists them", args[0])
}

// Run parses and runs a command line without the program's name and returns the
// exit code. Errors and help go to stderr.
func Run(ctx context.Context, stderr io.Writer, root *ffcli.Command, args []string) int {
	err := root.Parse(args)
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &noExec):
		// A group of sub-commands without one of them.
		noExec.Command.FlagSet.Usage()
		return ExitUsage
	case err != nil:
		return ExitUsage // The flag set has printed the error and the usage.
	}
	err = root.Run(ctx)
	var usage *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "wrong usage: %v\n", err)
		return ExitUsage
	default:
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
}
