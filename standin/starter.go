package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	root "github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin/engine"
)

// engineFleet starts the ordered engines on ports of the platform's IP address
// and keeps their audits.
type engineFleet struct {
	address net.Addr
	config  engine.ServerConfig
	options []Option
	// onCrash is called with the ID of an engine that crashed by an injected
	// fault.
	onCrash func(id string)

	mu      sync.Mutex
	engines map[string]*engine.Server
}

// start implements platform.Starter. The returned stop function ends the engine
// at once, like an eviction, without finishing its streams.
func (f *engineFleet) start(server root.Server) (string, func(), error) {
	ip, _, err := net.SplitHostPort(f.address.String())
	if err != nil {
		return "", nil, err
	}
	engineConfig := f.config
	engineConfig.Engine.ID = server.ID
	engineConfig.IgnoreFence = !server.ChecksFence
	host, service, err := StartEngine(net.JoinHostPort(ip, "0"), engineConfig, f.options...)
	if err != nil {
		return "", nil, err
	}
	f.register(server.ID, service)
	go func() {
		select {
		case <-host.Crashed():
			f.onCrash(server.ID)
		case <-host.done:
		}
	}()
	return host.URL, host.Kill, nil
}

// register retains an engine for its audit, also after it has stopped.
func (f *engineFleet) register(id string, service *engine.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines == nil {
		f.engines = map[string]*engine.Server{}
	}
	f.engines[id] = service
}

// ServeHTTP answers with the audits of all engines, keyed by server ID.
func (f *engineFleet) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	audits := make(map[string]engine.Audit, len(f.engines))
	for id, service := range f.engines {
		audits[id] = service.Audit()
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(audits)
}
