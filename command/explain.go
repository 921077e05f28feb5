package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
)

func explainCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "mimosakeel explain REQUEST-ID [FILE...]",
		ShortHelp:  "Print the path of a request and the causes of its result, from the logs of several daemons.",
		LongHelp: "Reads logs and event files, or standard input if no file is named.\n" +
			"Reports lines that can't be read and information that is missing, and continues.\n" +
			"Exits with 1 if no line names the request.",
		FlagSet: env.Flags("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || args[0] == "" {
				return usagef("explain needs the id of a request")
			}
			return env.explain(args[0], args[1:])
		},
	}
}

func (env *Env) explain(id string, names []string) error {
	sources := []event.Source{{Name: "standard input", Reader: env.Stdin}}
	if len(names) > 0 {
		opened, closeAll, err := openSources(names)
		if err != nil {
			return err
		}
		defer closeAll()
		sources = opened
	}
	events, problems := event.Merge(sources...)
	for _, problem := range problems {
		fmt.Fprintln(env.Stderr, problem)
	}
	explanation := event.Explain(events, id)
	if err := explanation.WriteText(env.Stdout); err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return eris.Errorf("no line names request %q", id)
	}
	return nil
}

// openSources opens logs and event files. The caller must call closeAll.
func openSources(names []string) (sources []event.Source, closeAll func(), err error) {
	var files []io.Closer
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // Opened for reading only.
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, eris.Wrap(err, "open event file")
		}
		files = append(files, file)
		sources = append(sources, event.Source{Name: name, Reader: file})
	}
	return sources, closeAll, nil
}
