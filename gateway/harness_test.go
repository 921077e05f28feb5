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
	// rawListeners are the listeners of serveRaw.
	rawListeners []net.Listener

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
func runWithGateway(t *testing.T, config Config, f func(e *testEnv), engines ...http.Handler) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEnv(t, config, engines...)
		defer e.close()
		f(e)
	})
}

func newTestEnv(t *testing.T, config Config, engines ...http.Handler) *testEnv {
	e := &testEnv{
		t:         t,
		listeners: map[string]*enginetest.PipeListener{},
		services:  map[string]*Service{},
		released:  map[uint64]GrantResult{},
	}
	acme := &Customer{Name: "acme", Models: []string{"m"}, Services: []string{"stamps"}}
	e.keys = map[KeyHash]*Customer{sha256.Sum256([]byte(testKey)): acme}
	e.services["stamps"] = &Service{Name: "stamps", MethodsIdempotent: []string{http.MethodGet}}
	e.services["open"] = &Service{Name: "open", Open: true, MethodsIdempotent: []string{http.MethodGet}}
	for i, engine := range engines {
		name := fmt.Sprintf("e%d", i)
		e.engines = append(e.engines, name)
		e.serve(name+":80", engine)
	}
	e.gateway = New(config, Dependencies{
		Directory: e, Freshness: e, Limiter: e, Scheduler: e, Backends: fakeBackends{e},
		Usage: e, Events: e, Clock: SystemClock{},
		Engines:  backend.NewEngines(e.dial),
		Services: backend.NewServices(e.dial),
	})
	e.gateway.SetReady(true)
	e.serve("gateway:80", e.gateway)
	e.client = &http.Client{Transport: &http.Transport{DialContext: e.dial}}
	return e
}

func (e *testEnv) serve(addr string, handler http.Handler) {
	listener := enginetest.NewPipeListener()
	e.listeners[addr] = listener
	server := &http.Server{Handler: handler}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (e *testEnv) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	listener := e.listeners[addr]
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	return listener.Dial(ctx)
}

func (e *testEnv) close() {
	e.client.CloseIdleConnections()
	e.gateway.Engines.Close()
	e.gateway.Services.Close()
	for _, server := range e.servers {
		_ = server.Close()
	}
	for _, listener := range e.rawListeners {
		_ = listener.Close()
	}
	synctest.Wait()
}

func (e *testEnv) Customer(key KeyHash) *Customer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keys[key]
}
func (e *testEnv) HasModel(name string) bool    { return name == "m" || name == "other" }
func (e *testEnv) Service(name string) *Service { return e.services[name] }
func (e *testEnv) MayServeKeyed() bool          { return !e.keysUnverified.Load() }
func (e *testEnv) Record(Event)                 {}
func (e *testEnv) Progress(Ticket, int)         {}
func (e *testEnv) Admit(_ *Customer, _ int64) (func(used int64), *Refusal) {
	return func(int64) {}, nil
}

func (e *testEnv) Add(entry UsageEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage = append(e.usage, entry)
}

// usageEntries returns the recorded usage after all goroutines have blocked or
// ended.
func (e *testEnv) usageEntries() []UsageEntry {
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.usage)
}

// releases returns the results of the released grants by ticket number, after
// all goroutines have blocked or ended.
func (e *testEnv) releases() map[uint64]GrantResult {
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.released)
}

// Grant grants the first engine that is not excluded.
func (e *testEnv) Grant(_ context.Context, r GrantRequest) (Grant, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granted = append(e.granted, r)
	if e.refusal != nil {
		return Grant{}, e.refusal
	}
	for _, name := range e.engines {
		if slices.Contains(r.Exclude, name) {
			continue
		}
		grant := Grant{Ticket: Ticket{Number: uint64(len(e.granted))}, Engine: name, URL: "http://" + name}
		grant.Expires = time.Now().Add(time.Second + e.expires)
		e.expires = 0
		return grant, nil
	}
	return Grant{}, &Refusal{Status: 503, Code: "no_engine", RetryAfter: 1500 * time.Millisecond}
}

func (e *testEnv) Release(t Ticket, result GrantResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, twice := e.released[t.Number]; twice {
		e.t.Errorf("grant %d was released twice", t.Number)
	}
	e.released[t.Number] = result
}

type fakeBackends struct{ e *testEnv }

func (b fakeBackends) Pick(_ string, exclude []string) (ServiceBackend, error) {
	for _, name := range b.e.engines {
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
func (e *testEnv) send(method, path, body string, headers ...string) clientResponse {
	return e.sendContext(context.Background(), method, path, body, headers...)
}

func (e *testEnv) sendContext(ctx context.Context, method, path, body string, headers ...string) clientResponse {
	req, err := http.NewRequestWithContext(ctx, method, "http://gateway"+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
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
	resp, err := e.client.Do(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// sendRaw writes the bytes to a new connection and returns the first line of
// the response and the rest.
func (e *testEnv) sendRaw(request string) (statusLine, rest string) {
	conn, err := e.dial(context.Background(), "tcp", "gateway:80")
	if err != nil {
		e.t.Fatal(err)
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
