package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

const testKey = "sk-test"

// testEnv is a gateway with a fake control plane. Its connections are
// in-process pipes and its clock is virtual.
type testEnv struct {
	t         *testing.T
	gateway   *Gateway
	client    *http.Client
	listeners map[string]*enginetest.PipeListener
	servers   []*http.Server

	mu             sync.Mutex
	keys           map[KeyHash]*Customer
	services       map[string]*Service
	engines        []string
	released       map[uint64]GrantResult
	granted        []GrantRequest
	usage          []UsageEntry
	keysUnverified atomic.Bool
	refusal        *Refusal
	expires        time.Duration
}

// runWithGateway runs f with a gateway in front of the engine handlers, which
// are named e0, e1 and so on.
func runWithGateway(t *testing.T, config Config, f func(w *testEnv), engines ...http.Handler) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(t, config, engines...)
		defer w.close()
		f(w)
	})
}

func newTestEnv(t *testing.T, config Config, engines ...http.Handler) *testEnv {
	w := &testEnv{
		t:         t,
		listeners: map[string]*enginetest.PipeListener{},
		services:  map[string]*Service{},
		released:  map[uint64]GrantResult{},
	}
	acme := &Customer{Name: "acme", Models: []string{"m"}, Services: []string{"stamps"}}
	w.keys = map[KeyHash]*Customer{sha256.Sum256([]byte(testKey)): acme}
	w.services["stamps"] = &Service{Name: "stamps", MethodsIdempotent: []string{http.MethodGet}}
	w.services["open"] = &Service{Name: "open", Open: true, MethodsIdempotent: []string{http.MethodGet}}
	for i, engine := range engines {
		name := fmt.Sprintf("e%d", i)
		w.engines = append(w.engines, name)
		w.serve(name+":80", engine)
	}
	w.gateway = New(config, Dependencies{
		Directory: w, Freshness: w, Limiter: w, Scheduler: w, Backends: fakeBackends{w},
		Usage: w, Events: w, Clock: SystemClock{},
		Engines:  backend.NewEngines(w.dial),
		Services: backend.NewServices(w.dial),
	})
	w.gateway.SetReady(true)
	w.serve("gateway:80", w.gateway)
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.dial}}
	return w
}

func (w *testEnv) serve(addr string, handler http.Handler) {
	listener := enginetest.NewPipeListener()
	w.listeners[addr] = listener
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (w *testEnv) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	listener := w.listeners[addr]
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	return listener.Dial(ctx)
}

func (w *testEnv) close() {
	w.client.CloseIdleConnections()
	w.gateway.Engines.Close()
	w.gateway.Services.Close()
	for _, server := range w.servers {
		_ = server.Close()
	}
	synctest.Wait()
}

func (w *testEnv) Customer(key KeyHash) *Customer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[key]
}
func (w *testEnv) HasModel(name string) bool    { return name == "m" || name == "other" }
func (w *testEnv) Service(name string) *Service { return w.services[name] }
func (w *testEnv) MayServeKeyed() bool          { return !w.keysUnverified.Load() }
func (w *testEnv) Record(Event)                 {}
func (w *testEnv) Progress(Ticket, int)         {}
func (w *testEnv) Admit(_ *Customer, _ int64) (func(used int64), *Refusal) {
	return func(int64) {}, nil
}

func (w *testEnv) Add(entry UsageEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage = append(w.usage, entry)
}

// usageEntries returns the recorded usage after all goroutines have blocked or
// ended.
func (w *testEnv) usageEntries() []UsageEntry {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.usage)
}

// releases returns the results of the released grants by ticket number, after
// all goroutines have blocked or ended.
func (w *testEnv) releases() map[uint64]GrantResult {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.released)
}

// Grant grants the first engine that is not excluded.
func (w *testEnv) Grant(_ context.Context, r GrantRequest) (Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted = append(w.granted, r)
	if w.refusal != nil {
		return Grant{}, w.refusal
	}
	for _, name := range w.engines {
		if slices.Contains(r.Exclude, name) {
			continue
		}
		grant := Grant{Ticket: Ticket{Number: uint64(len(w.granted))}, Engine: name, URL: "http://" + name}
		grant.Expires = time.Now().Add(time.Second + w.expires)
		w.expires = 0
		return grant, nil
	}
	return Grant{}, &Refusal{Status: 503, Code: "no_engine", RetryAfter: 1500 * time.Millisecond}
}

func (w *testEnv) Release(t Ticket, result GrantResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, twice := w.released[t.Number]; twice {
		w.t.Errorf("grant %d was released twice", t.Number)
	}
	w.released[t.Number] = result
}

type fakeBackends struct{ w *testEnv }

func (b fakeBackends) Pick(_ string, exclude []string) (ServiceBackend, error) {
	for _, name := range b.w.engines {
		if !slices.Contains(exclude, name) {
			return ServiceBackend{ID: name, URL: "http://" + name}, nil
		}
	}
	return ServiceBackend{}, &Refusal{Status: 503, Code: "no_server"}
}

func (b fakeBackends) Release(ServiceBackend, bool) {}

// clientResponse is what the client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request. headers are "Name: value" lines; a line without a
// value removes the header.
func (w *testEnv) send(method, path, body string, headers ...string) clientResponse {
	return w.sendContext(context.Background(), method, path, body, headers...)
}

func (w *testEnv) sendContext(ctx context.Context, method, path, body string, headers ...string) clientResponse {
	req, err := http.NewRequestWithContext(ctx, method, "http://gateway"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		if value == "" {
			req.Header.Del(name)
			continue
		}
		req.Header.Add(name, value)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// sendRaw writes the bytes to a new connection and returns the first line of
// the response and the rest.
func (w *testEnv) sendRaw(request string) (statusLine, rest string) {
	conn, err := w.dial(context.Background(), "tcp", "gateway:80")
	if err != nil {
		w.t.Fatal(err)
	}
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, request) }()
	reader := bufio.NewReader(conn)
	statusLine, _ = reader.ReadString('\n')
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	data, _ := io.ReadAll(reader)
	return strings.TrimSpace(statusLine), string(data)
}

const (
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)
