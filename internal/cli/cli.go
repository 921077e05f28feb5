// Package cli runs the command lines of the programs and maps their results to
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
	// ExitFailed means that the command line was valid, but the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid; the command did not run.
	ExitUsage = 2
)

// UsageError reports an invalid command line.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// Usagef returns a *UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// NeedSubcommand is the Exec function of a command that only groups
// sub-commands. It returns a *UsageError, which quotes the unknown sub-command
// if one was given.
func NeedSubcommand(_ context.Context, args []string) error {
	if len(args) == 0 {
		return Usagef("name a sub-command; -h lists them")
	}
	return Usagef("unknown sub-command %q; -h lists them", args[0])
}

// Run parses and runs a command line, given without the program's name, and
// returns the exit code. Errors are written to stderr; help and flag errors are
// written to the output of the command's flag set.
func Run(ctx context.Context, stderr io.Writer, root *ffcli.Command, args []string) int {
	err := root.Parse(args)
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &noExec):
		// The command has only sub-commands, and none was given.
		noExec.Command.FlagSet.Usage()
		return ExitUsage
	case err != nil:
		return ExitUsage // The flag set has already printed the error and the usage.
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
