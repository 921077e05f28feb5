// Command mimosakeel-load generates load, compares scheduling policies and runs
// the soak test with fault injection.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosakeel/mimosakeel/internal/cli"
	"github.com/mimosakeel/mimosakeel/load"
	"github.com/mimosakeel/mimosakeel/load/compare"
	"github.com/mimosakeel/mimosakeel/platform/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	root := load.Command(os.Stdout)
	root.ShortUsage = "mimosakeel-load run|compare|soak [flags]"
	root.Subcommands = append(root.Subcommands, compare.Command(os.Stdout), soak.Command(os.Stdout))
	code := cli.Run(ctx, os.Stderr, root, os.Args[1:])
	stop()
	os.Exit(code)
}
