package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	"golang.org/x/time/rate"
)

const (
	maxBodyBytes = 4 << 20
	maxReadWait  = 30 * time.Second
	maxReadCount = 10000
)

// Platform is the stand-in hosting platform. It implements http.Handler.
type Platform struct {
	config        Config
	faults        fault.Set
	audit         *auditor
	log           *logStore
	servers       *serverStore
	vms           *vmList
	orderFences   *fenceChecker
	usageFences   *fenceChecker
	appendLimiter *rate.Limiter
	weightLimiter *rate.Limiter
	router        *mux.Router
}

// New returns a platform with the given configuration.
func New(config Config) *Platform {
	config = config.withDefaults()
	p := &Platform{
		config:        config,
		audit:         newAuditor(),
		log:           newLogStore(config),
		vms:           newVMList(config.VMLag, config.VMs),
		orderFences:   newFenceChecker(),
		usageFences:   newFenceChecker(),
		appendLimiter: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond/10))),
		weightLimiter: rate.NewLimiter(rate.Limit(config.WeightLoadsPerSecond), config.WeightBurst),
	}
	p.servers = newServerStore(config, p.audit, p.cheapUnavailable)
	p.faults.ApplyImmediate = p.applyImmediate
	p.router = p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Close stops the servers that orders started.
func (p *Platform) Close() { p.servers.close() }

// EndReads makes waiting log reads return, so that the HTTP server can shut
// down. It must be called at most once.
func (p *Platform) EndReads() { close(p.log.quit) }

// Audit returns a copy of the audit record.
func (p *Platform) Audit() Audit { return p.audit.snapshot() }

// History returns the records of a log stream. With Config.KeepTrimmed it
// includes the trimmed ones.
func (p *Platform) History(stream string) []HistoryRecord { return p.log.history(stream) }

// Inject activates a fault, like POST /faults.
func (p *Platform) Inject(f fault.Fault) { p.faults.Add(f) }

// Faults returns the active faults, like GET /faults.
func (p *Platform) Faults() []fault.Fault { return p.faults.List() }

// SetServerCounts sets the target numbers of servers in a failure domain, like an
// order but without fencing token and audit entry.
func (p *Platform) SetServerCounts(failureDomain string, onDemand, cheap int) {
	p.servers.setTarget(failureDomain, hosting.ClassOnDemand, onDemand)
	p.servers.setTarget(failureDomain, hosting.ClassCheap, cheap)
}

// PutServer adds a server that the platform doesn't run itself to the server
// list, or replaces the entry with the same ID.
func (p *Platform) PutServer(server hosting.Server) { p.servers.put(server) }

// ServerCrashed reports that a server started by Config.Start has crashed. The
// platform replaces it after Config.CrashLag.
func (p *Platform) ServerCrashed(id string) { p.servers.replaceCrashed(id) }

// SetVMs replaces the VM list. GET /vms returns it after Config.VMLag.
func (p *Platform) SetVMs(vms []hosting.VM) { p.vms.set(vms) }

func (p *Platform) routes() *mux.Router {
	router := mux.NewRouter()
	router.Handle("/faults", &p.faults).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/audit", p.getAudit).Methods(http.MethodGet)
	router.HandleFunc("/audit/log/{stream}", p.getHistory).Methods(http.MethodGet)
	router.HandleFunc("/log/{stream}", p.withFaults("append", p.postLog)).Methods(http.MethodPost)
	router.HandleFunc("/log/{stream}", p.withFaults("read", p.getLog)).Methods(http.MethodGet)
	router.HandleFunc("/orders/{fd}", p.withFaults("orders", p.putOrder)).Methods(http.MethodPut)
	router.HandleFunc("/usage/{window}", p.withFaults("usage", p.putUsage)).Methods(http.MethodPut)
	router.HandleFunc("/servers", p.withFaults("servers", p.getServers)).Methods(http.MethodGet)
	router.HandleFunc("/vms", p.withFaults("vms", p.getVMs)).Methods(http.MethodGet)
	router.HandleFunc("/weights/{model}", p.withFaults("weights", p.getWeights)).Methods(http.MethodGet)
	router.HandleFunc("/control/vms", p.controlVMs).Methods(http.MethodPut)
	router.HandleFunc("/control/servers", p.controlPutServer).Methods(http.MethodPut)
	router.HandleFunc("/control/servers/{id}", p.controlRemoveServer).Methods(http.MethodDelete)
	return router
}

// reply is the status and the JSON body of an answer.
type reply struct {
	status int
	body   any
}

// withFaults wraps a handler with the faults that apply to all calls: delay,
// hang, outage and lost answer.
func (p *Platform) withFaults(name string, handle func(*http.Request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if f, hit := p.faults.Take(FaultDelay, name); hit {
			wait(r, f.Delay())
		}
		if _, hit := p.faults.Take(FaultHang, name); hit {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if p.outage(name) {
			writeReply(w, reply{http.StatusServiceUnavailable, errorBody{Error: "outage"}})
			return
		}
		result := handle(r)
		if _, hit := p.faults.Take(FaultLoseAnswer, name); hit {
			panic(http.ErrAbortHandler)
		}
		writeReply(w, result)
	}
}

// outage reports whether an active FaultOutage affects a call.
func (p *Platform) outage(name string) bool {
	if _, hit := p.faults.Take(FaultOutage, name); hit {
		return true
	}
	if name != "append" && name != "read" {
		return false
	}
	_, hit := p.faults.Take(FaultOutage, "log")
	return hit
}

// wait waits for the duration or until the client disconnects.
func wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// errorBody is the body of an error answer.
type errorBody struct {
	Error string `json:"error"`
	Fence *int64 `json:"fence,omitempty"`
	First *int64 `json:"first,omitempty"`
}

func writeReply(w http.ResponseWriter, result reply) {
	if result.status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(1))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.status)
	_ = json.NewEncoder(w).Encode(result.body)
}

// applyImmediate applies a fault that takes effect when it is injected. It
// returns false for all other kinds.
func (p *Platform) applyImmediate(f fault.Fault) bool {
	switch f.Kind {
	case FaultTrim:
		p.log.trim(f.Target, int64(f.Value))
	case FaultFreeze:
		if p.config.Freeze != nil {
			p.config.Freeze()
		}
	case FaultEvict:
		notice := p.config.EvictNotice
		if f.DelayMs > 0 {
			notice = f.Delay()
		}
		p.servers.evict(f.Target, notice)
	default:
		return false
	}
	return true
}

// cheapUnavailable reports whether an active FaultNoCheap affects a failure
// domain.
func (p *Platform) cheapUnavailable(failureDomain string) bool {
	_, hit := p.faults.Take(FaultNoCheap, failureDomain)
	return hit
}
