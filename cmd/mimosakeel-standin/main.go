// Command mimosakeel-standin runs the stand-ins of package standin.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosakeel/mimosakeel/internal/cli"
	"github.com/mimosakeel/mimosakeel/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Stderr, standin.Command(os.Stdout), os.Args[1:])
	stop()
	os.Exit(code)
}
