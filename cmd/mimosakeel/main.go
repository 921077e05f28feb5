// Command mimosakeel serves language-model requests and operates the serving
// system; see package command.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosakeel/mimosakeel/command"
	"github.com/mimosakeel/mimosakeel/demo"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/platform"
	"github.com/mimosakeel/mimosakeel/serve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := command.NewEnv(os.Stdout, os.Stderr)
	env.NewLog = func(baseURL string, client *http.Client) hosting.Log { return httpapi.New(baseURL, client) }
	code := command.Run(ctx, env, os.Args[1:], serve.Command, demo.Command, platform.Command)
	stop()
	os.Exit(code)
}
