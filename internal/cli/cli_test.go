package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func program(stderr io.Writer) *ffcli.Command {
	flags := func(name string) *flag.FlagSet {
		set := flag.NewFlagSet(name, flag.ContinueOnError)
		set.SetOutput(stderr)
		return set
	}
	return &ffcli.Command{
		Name:    "program",
		FlagSet: flags("program"),
		Exec:    NeedSubcommand,
		Subcommands: []*ffcli.Command{
			{Name: "fine", FlagSet: flags("fine"), Exec: func(context.Context, []string) error { return nil }},
			{Name: "fails", FlagSet: flags("fails"), Exec: func(context.Context, []string) error { return errors.New("no luck") }},
		},
	}
}

// Guards against a mistyped command line that scripts take for success: an
// unknown sub-command used to print the help and exit with code 0.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args   []string
		code   int
		output string
	}{
		"done":               {[]string{"fine"}, ExitOK, ""},
		"failed":             {[]string{"fails"}, ExitFailed, "no luck"},
		"unknown subcommand": {[]string{"NONSENSE"}, ExitUsage, `"NONSENSE"`},
		"no subcommand":      {nil, ExitUsage, "name a sub-command"},
		"unknown flag":       {[]string{"fine", "-nonsense"}, ExitUsage, "nonsense"},
		"help":               {[]string{"-h"}, ExitOK, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var stderr bytes.Buffer
			g.Expect(Run(context.Background(), &stderr, program(&stderr), c.args)).To(Equal(c.code))
			g.Expect(stderr.String()).To(ContainSubstring(c.output))
		})
	}
}
