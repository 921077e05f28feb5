package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/table"
)

// resetWait is the default time to wait for an answer of a daemon before the chain
// is restarted. It exceeds a lease term and the longest rank delay.
const resetWait = 15 * time.Second

func tableCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name:        "table",
		ShortUsage:  "mimosakeel table <show|diff|publish> [flags]",
		ShortHelp:   "Show, compare and publish the customer table.",
		FlagSet:     env.Flags("table"),
		Subcommands: []*ffcli.Command{showCommand(env), diffCommand(env), publishCommand(env)},
	}
}

func showCommand(env *Env) *ffcli.Command {
	flags := env.Flags("table show")
	logFlags := addLogFlags(flags)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "mimosakeel table show (-log URL | -settings FILE)",
		ShortHelp:  "Print the current table as a file that can be edited and published.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("show takes no arguments")
			}
			return logFlags.withLog(ctx, env, func(ctx context.Context, log hosting.Log) error {
				config, err := openAnchored(ctx, env, log)
				if err != nil {
					return err
				}
				env.printf("// version %d by %s\n", config.state.Version(), quotedAuthor(config.state.Author()))
				env.printf("%s", table.Format(table.File{Version: config.state.Version(), Table: *config.state.Table()}))
				return nil
			})
		},
	}
}

func diffCommand(env *Env) *ffcli.Command {
	flags := env.Flags("table diff")
	logFlags := addLogFlags(flags)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "mimosakeel table diff (-log URL | -settings FILE) TABLE",
		ShortHelp:  "Print what publishing a table file would change.",
		LongHelp:   "Fails if the file is based on another version than the current one.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			file, err := readTableArgument(args)
			if err != nil {
				return err
			}
			return logFlags.withLog(ctx, env, func(ctx context.Context, log hosting.Log) error {
				config, err := openAnchored(ctx, env, log)
				if err != nil {
					return err
				}
				env.printDiff(config.state.Table(), table.EditBetween(config.state.Table(), &file.Table))
				return checkVersion(config.state, file.Version)
			})
		},
	}
}

func publishCommand(env *Env) *ffcli.Command {
	flags := env.Flags("table publish")
	logFlags := addLogFlags(flags)
	force := flags.Bool("force", false, "publish even if no customer has a key afterwards")
	reset := flags.Bool("reset", false, "restart the table's history if no daemon knows it any more")
	wait := flags.Duration("reset-wait", resetWait, "time to wait for a daemon that knows the table before -reset takes effect")
	author := flags.String("author", os.Getenv("USER"), "`name` of the operator, shown to others whose edits conflict")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "mimosakeel table publish (-log URL | -settings FILE) [-force] [-reset] TABLE",
		ShortHelp:  "Publish a table file.",
		LongHelp: "Only rows that differ from the current table are published. If another operator's edit was\n" +
			"accepted since the file's \"version\", nothing is published and that edit is named.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			file, err := readTableArgument(args)
			if err != nil {
				return err
			}
			return logFlags.withLog(ctx, env, func(ctx context.Context, log hosting.Log) error {
				config, err := openConfig(ctx, env, log, operatorName(*author))
				if err != nil {
					return err
				}
				p := &editPublisher{env: env, config: config, force: *force, resetWait: *wait}
				return p.publishFile(ctx, file, *reset)
			})
		},
	}
}

func (p *editPublisher) publishFile(ctx context.Context, file table.File, reset bool) error {
	base := file.Version
	if reset {
		version, err := p.reset(ctx)
		if err != nil {
			return err
		}
		base = version
	} else if err := p.ensureAnchored(ctx); err != nil {
		return err
	}
	state := p.config.state
	if err := checkVersion(state, base); err != nil {
		return err
	}
	edit := table.EditBetween(state.Table(), &file.Table)
	if edit.Empty() && !reset {
		p.env.printf("no changes\n")
		return nil
	}
	p.env.printDiff(state.Table(), edit)
	return p.publish(ctx, edit, base)
}

func (env *Env) printDiff(old *table.Table, edit table.Edit) {
	for _, line := range table.Diff(old, edit) {
		env.printf("%s\n", line)
	}
}

// checkVersion fails if version isn't the current one. The error names the author
// of the current version.
func checkVersion(state *table.State, version int64) error {
	if version == state.Version() {
		return nil
	}
	return eris.Wrapf(table.ErrStaleBase, "the file is based on version %d, but the current version is %d by %s; run `table show` and repeat the change",
		version, state.Version(), quotedAuthor(state.Author()))
}

// withLog opens the log and calls run with a context that ends at the timeout.
func (f logFlags) withLog(ctx context.Context, env *Env, run func(context.Context, hosting.Log) error) error {
	log, err := f.open(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	defer cancel()
	return run(ctx, log)
}

// openAnchored reads the config stream for commands that don't write. It fails if
// the log is trimmed and holds no checkpoint of the table.
func openAnchored(ctx context.Context, env *Env, log hosting.Log) (*configLog, error) {
	config, err := openConfig(ctx, env, log, "reader")
	if err != nil {
		return nil, err
	}
	if !config.chain.Anchored() {
		return nil, eris.Wrap(table.ErrNotAnchored, "wait for a daemon's next checkpoint, or run `table publish`, which asks for one")
	}
	return config, nil
}

func readTableArgument(args []string) (table.File, error) {
	if len(args) != 1 {
		return table.File{}, usagef("one table file is needed instead of %q", strings.Join(args, " "))
	}
	return readTable(args[0])
}

func quotedAuthor(author string) string {
	if author == "" {
		return "nobody"
	}
	return fmt.Sprintf("%q", author)
}
