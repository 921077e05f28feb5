package command

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
)

func timelineCommand(env *Env) *ffcli.Command {
	flags := env.Flags("timeline")
	html := flags.String("html", "", "write an HTML page to this `file` instead of text to standard output")
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "mimosakeel timeline [-html PAGE] FILE...",
		ShortHelp:  "Merge the event files or logs of several daemons.",
		LongHelp:   "Lines that can't be read, such as the last one of a killed daemon, are reported and skipped.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("timeline needs at least one event file")
			}
			return env.timeline(args, *html)
		},
	}
}

func (env *Env) timeline(names []string, html string) error {
	sources, closeAll, err := openSources(names)
	if err != nil {
		return err
	}
	defer closeAll()
	events, problems := event.Merge(sources...)
	for _, problem := range problems {
		fmt.Fprintln(env.Stderr, problem)
	}
	if html == "" {
		return event.WriteText(env.Stdout, events)
	}
	return writePage(html, events)
}

func writePage(name string, events []event.Event) error {
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create the timeline page")
	}
	err = event.WriteHTML(file, events)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
