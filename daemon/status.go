package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// statusTimeout limits the wait for the control goroutine.
const statusTimeout = time.Second

// Status is the body of the answer to GET /status.
type Status struct {
	VM            string            `json:"vm"`
	Incarnation   string            `json:"incarnation"`
	FailureDomain string            `json:"failure_domain"`
	ConfigVersion int64             `json:"config_version"`
	ConfigReady   bool              `json:"config_ready"`
	LogReachable  bool              `json:"log_reachable"`
	ServesKeyed   bool              `json:"serves_keyed"`
	Outstanding   int64             `json:"outstanding"`
	Live          []string          `json:"live"`
	Schedulers    map[string]string `json:"schedulers"`
	Engines       map[string]string `json:"engines"`
}

// handler returns the gateway's handler with the operators' routes added.
func (d *Daemon) handler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.UseEncodedPath()
	r.HandleFunc("/status", d.serveStatus).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(d.gateway)
	return r
}

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := ask(ctx, d.control, d.status)
	if err != nil {
		http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// status returns the current status. It runs on the control goroutine.
func (d *Daemon) status(now time.Time) Status {
	c := d.control
	s := Status{
		VM:            c.self,
		Incarnation:   c.incarnation,
		FailureDomain: d.settings.Process.FailureDomain,
		ConfigVersion: c.config.current.Load().Version(),
		ConfigReady:   c.config.ready(),
		LogReachable:  d.log.reachable.Load(),
		ServesKeyed:   d.gate.MayServeKeyed(),
		Outstanding:   d.gateway.Outstanding(),
		Live:          c.inventory.live.IDs(),
		Schedulers:    c.view.Load().schedulers,
		Engines:       map[string]string{},
	}
	for id, e := range c.inventory.engines {
		if now.Sub(e.at) < engineInfoTimeout {
			s.Engines[id] = e.info.Model + "/" + string(e.info.Role)
		}
	}
	return s
}
