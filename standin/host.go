// Package standin serves stand-ins for the systems that mimosakeel depends on:
// engines, a plain service and the platform. Each accepts injected faults with
// POST /faults and returns an audit record with GET /audit.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/internal/distance"
	"github.com/mimosakeel/mimosakeel/standin/app"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	"github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/rotisserie/eris"
)

const (
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Host serves one stand-in on its own listener.
type Host struct {
	// URL is the base URL of the stand-in.
	URL string

	listener *fault.Listener
	latency  time.Duration
	server   *http.Server
	// onClose releases the stand-in after its HTTP server has ended.
	onClose func()
	// endOnce makes only the first of Stop, Kill and Crash take effect.
	endOnce sync.Once
	// done is closed when the HTTP server has stopped accepting connections.
	done    chan struct{}
	crashed chan struct{}
}

// Option configures how a stand-in is served.
type Option func(*Host)

// WithLatency adds a one-way latency between the stand-in and its callers.
func WithLatency(oneWay time.Duration) Option {
	return func(h *Host) { h.latency = oneWay }
}

// listen opens a TCP listener whose connections can be frozen and reset.
func listen(address string) (*fault.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return fault.NewListener(inner), nil
}

func newHost(listener *fault.Listener, options []Option) *Host {
	host := &Host{
		URL:      "http://" + listener.Addr().String(),
		listener: listener,
		done:     make(chan struct{}),
		crashed:  make(chan struct{}),
	}
	for _, option := range options {
		option(host)
	}
	return host
}

// serve starts the HTTP server. onClose releases the stand-in; it is called
// after the server has ended.
func (h *Host) serve(handler http.Handler, onClose func()) {
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	h.onClose = onClose
	go func() {
		defer close(h.done)
		_ = h.server.Serve(distance.Listener(h.listener, 2*h.latency))
	}()
}

// Addr returns the address that the host listens on.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// Crashed returns a channel that is closed when Crash is called, for example by
// an injected fault.
func (h *Host) Crashed() <-chan struct{} { return h.crashed }

// Stop shuts down the stand-in. Open requests have up to 5 s to finish.
func (h *Host) Stop() {
	h.endOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := h.server.Shutdown(ctx); err != nil {
			_ = h.server.Close()
		}
		h.onClose()
	})
	<-h.done
}

// Kill ends the stand-in immediately and resets its connections, like the loss
// of its machine.
func (h *Host) Kill() {
	h.endOnce.Do(h.kill)
	<-h.done
}

// Crash ends the stand-in like Kill and closes the Crashed channel.
func (h *Host) Crash() {
	h.endOnce.Do(func() {
		close(h.crashed)
		h.kill()
	})
	<-h.done
}

func (h *Host) kill() {
	_ = h.listener.Close()
	h.listener.Reset()
	_ = h.server.Close()
	h.onClose()
}

// StartEngine starts and serves a stand-in engine on an address such as
// 127.0.0.1:0.
func StartEngine(address string, config engine.ServerConfig, options ...Option) (*Host, *engine.Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, nil, err
	}
	host := newHost(listener, options)
	config.Freeze = func() { listener.Freeze() }
	config.Crash = func() { go host.Crash() }
	server := engine.NewServer(config)
	host.serve(server, server.Close)
	return host, server, nil
}

// StartApp starts and serves a stand-in plain service.
func StartApp(address, name string, options ...Option) (*Host, *app.App, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, nil, err
	}
	host := newHost(listener, options)
	service := app.New(name, listener)
	host.serve(service, func() {})
	return host, service, nil
}

// StartPlatform starts and serves a stand-in platform. Unless config.Start is
// set, orders start engines with the configuration ordered in this process.
// They use this platform's weight store unless ordered names another one. GET
// /audit/engines returns the audits of these engines, including stopped ones.
func StartPlatform(address string, config platform.Config, ordered engine.ServerConfig, options ...Option) (*Host, *platform.Platform, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, nil, err
	}
	host := newHost(listener, options)
	config.Freeze = func() { listener.Freeze() }
	if ordered.WeightsURL == "" {
		ordered.WeightsURL = host.URL
	}
	var service *platform.Platform
	engines := &engineFleet{address: listener.Addr(), config: ordered, options: options}
	// service is set before any engine starts, because only it starts engines.
	engines.onCrash = func(id string) { service.ServerCrashed(id) }
	if config.Start == nil {
		config.Start = engines.start
	}
	service = platform.New(config)
	router := mux.NewRouter()
	router.Handle("/audit/engines", engines).Methods(http.MethodGet)
	router.PathPrefix("/").Handler(service)
	host.serve(router, service.Close)
	host.server.RegisterOnShutdown(service.EndReads)
	return host, service, nil
}

// Run waits until the context is canceled and stops the stand-in. It returns
// ErrCrashed if the stand-in crashes first.
func (h *Host) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		h.Stop()
		return nil
	case <-h.crashed:
		return ErrCrashed
	}
}

// ErrCrashed reports that an injected fault ended the stand-in.
var ErrCrashed = errors.New("stand-in crashed by an injected fault")
