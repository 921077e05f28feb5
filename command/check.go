package command

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/edge"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

func checkCommand(env *Env) *ffcli.Command {
	flags := env.Flags("check")
	tableFile := flags.String("table", "", "table `file` to check")
	edgeSettings := flags.Bool("edge", false, "the settings files are those of edge daemons")
	files := flags.Bool("files", false, "also read the certificate files that the settings name")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "mimosakeel check [-edge] [-files] [-table TABLE] [SETTINGS...]",
		ShortHelp:  "Check settings files and a table file.",
		LongHelp:   "Reports every problem with file, line and name. Uses no network.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 && *tableFile == "" {
				return usagef("check needs a settings file or -table")
			}
			check := func(name string) error { return checkSettings(name, *files) }
			if *edgeSettings {
				check = checkEdgeSettings
			}
			return env.check(args, *tableFile, check)
		},
	}
}

func (env *Env) check(settingsFiles []string, tableFile string, check func(name string) error) error {
	failed := 0
	report := func(name string, err error) {
		if err == nil {
			env.printf("%s: ok\n", name)
			return
		}
		failed++
		fmt.Fprintln(env.Stderr, err)
	}
	for _, name := range settingsFiles {
		report(name, check(name))
	}
	if tableFile != "" {
		_, err := readTable(tableFile)
		report(tableFile, err)
	}
	if failed > 0 {
		return eris.Errorf("%d files have problems", failed)
	}
	return nil
}

func checkSettings(name string, files bool) error {
	s, err := settings.Load(name)
	if err != nil || !files {
		return err
	}
	return s.CheckFiles(name).Err()
}

func checkEdgeSettings(name string) error {
	_, err := edge.LoadSettings(name)
	return err
}

func readTable(name string) (table.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return table.File{}, eris.Wrap(err, "read table")
	}
	return table.Parse(name, data)
}
