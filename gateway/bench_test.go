package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/internal/enginetest"
)

// staticControl is a control plane that never changes.
type staticControl struct {
	customer *Customer
	engine   string
}

func (f *staticControl) Customer(KeyHash) *Customer                     { return f.customer }
func (f *staticControl) HasModel(string) bool                           { return true }
func (f *staticControl) Service(string) *Service                        { return nil }
func (f *staticControl) MayServeKeyed() bool                            { return true }
func (f *staticControl) Record(Event)                                   {}
func (f *staticControl) Progress(Ticket, int)                           {}
func (f *staticControl) Release(Ticket, GrantResult)                    {}
func (f *staticControl) Add(UsageEntry)                                 {}
func (f *staticControl) Admit(*Customer, int64) (func(int64), *Refusal) { return func(int64) {}, nil }
func (f *staticControl) Grant(context.Context, GrantRequest) (Grant, error) {
	return Grant{Engine: "e", URL: f.engine}, nil
}

func benchGateway(engineURL string, dial backend.DialFunc) *Gateway {
	f := &staticControl{customer: &Customer{Name: "acme", Models: []string{"m"}}, engine: engineURL}
	return New(Config{}, Dependencies{
		Directory: f, Freshness: f, Limiter: f, Scheduler: f, Usage: f, Events: f,
		Clock: SystemClock{}, Engines: backend.NewEngines(dial), Services: backend.NewServices(dial),
	})
}

const (
	benchRate    = 500
	benchStreams = 64
)

// BenchmarkFirstByte measures the time to the first byte of a stream at 500
// requests/s with 64 other streams open, directly from an engine and through
// the gateway. Run it with -benchtime 5000x, which takes 10 s per case.
func BenchmarkFirstByte(b *testing.B) {
	engine := &enginetest.Engine{Tokens: 8}
	busy := &enginetest.Engine{Tokens: 1 << 20, Delay: 20 * time.Millisecond}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte("busy")) {
			busy.ServeHTTP(w, r)
			return
		}
		engine.ServeHTTP(w, r)
	}))
	defer server.Close()
	through := httptest.NewServer(benchGateway(server.URL, nil))
	defer through.Close()
	for name, url := range map[string]string{"direct": server.URL, "gateway": through.URL} {
		b.Run(name, func(b *testing.B) { measureFirstByte(b, url) })
	}
}

func measureFirstByte(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	ctx, stop := context.WithCancel(context.Background())
	defer client.CloseIdleConnections()
	defer stop()
	for range benchStreams {
		go func() { _, _ = firstByte(ctx, client, url, "busy") }()
	}
	time.Sleep(200 * time.Millisecond)
	histogram := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed atomic.Int64
	start := time.Now()
	b.ResetTimer()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / benchRate)))
		group.Go(func() {
			took, err := firstByte(ctx, client, url, "short")
			if err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(took.Microseconds())
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// firstByte returns the time to the first event of the stream, and reads the
// stream to its end.
func firstByte(ctx context.Context, client *http.Client, url, kind string) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+pathChat, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			break
		}
	}
	took := time.Since(start)
	_, err = io.Copy(io.Discard, reader)
	return took, err
}

// minimalProxy forwards a stream with as little as net/http needs. Memory
// beyond that is used by the gateway.
func minimalProxy(dial backend.DialFunc, url string) http.Handler {
	client := &http.Transport{DialContext: dial, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.Path, bytes.NewReader(body))
		req.Header = r.Header
		resp, err := client.RoundTrip(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		buffer := make([]byte, 512)
		for {
			n, err := resp.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})
}

// BenchmarkIdleStreams measures the memory of an open stream that waits for its
// next token, and whether 10,000 of them can be open. The case server-only has
// just the client's connection in net/http; net-http forwards over a second
// connection to the engine. The connections are in-process pipes, and the
// measured memory includes them and the engine. Run it with -benchtime 1x.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 10_000
	for _, name := range []string{"server-only", "net-http", "gateway"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measureIdle(b, name, streams)
			}
		})
	}
}

func measureIdle(b *testing.B, name string, streams int) {
	engines := enginetest.NewPipeListener()
	front := enginetest.NewPipeListener()
	defer engines.Close()
	defer front.Close()
	go serveIdleEngine(engines)
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return engines.Dial(ctx) }
	var handler http.Handler
	switch name {
	case "server-only":
		handler = http.HandlerFunc(serveIdle)
	case "net-http":
		handler = minimalProxy(dial, "http://e")
	case "gateway":
		handler = benchGateway("http://e", dial)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(front) }()
	defer server.Close()
	before := memoryInUse()
	conns := make([]net.Conn, 0, streams)
	for range streams {
		conns = append(conns, openIdle(b, front))
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(streams), "B/stream")
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// serveIdle sends one token and waits, without any backend.
func serveIdle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "data: t0 \n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// openIdle opens a stream and reads up to its first token.
func openIdle(b *testing.B, front *enginetest.PipeListener) net.Conn {
	conn, err := front.Dial(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		pathChat, testKey, len(streamBody), streamBody)
	if _, err := io.WriteString(conn, request); err != nil {
		b.Fatal(err)
	}
	var got []byte
	buffer := make([]byte, 512)
	for !bytes.Contains(got, []byte("t0 ")) {
		n, err := conn.Read(buffer)
		if err != nil {
			b.Fatalf("%v after %q", err, got)
		}
		got = append(got, buffer[:n]...)
	}
	return conn
}

// serveIdleEngine sends one token on each connection and after that only
// heartbeats.
func serveIdleEngine(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			id := readRequestID(conn)
			engine := &enginetest.Engine{Tokens: 2}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: %s\n\n", engine.Frame(id, 0, pathChat))
			for {
				time.Sleep(time.Second)
				if _, err := io.WriteString(conn, ": hb\n\n"); err != nil {
					return
				}
			}
		}()
	}
}

// readRequestID reads one request and returns its id. It keeps no buffers.
func readRequestID(conn net.Conn) string {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get(backend.HeaderRequestID)
}

// BenchmarkKeyLookup compares the lookup of a key in an immutable snapshot with
// one under a read lock, on all processors at once.
func BenchmarkKeyLookup(b *testing.B) {
	keys := map[KeyHash]*Customer{}
	var lookupKey KeyHash
	for i := range 9300 {
		lookupKey = sha256.Sum256(fmt.Append(nil, i))
		keys[lookupKey] = &Customer{}
	}
	var snapshot atomic.Pointer[map[KeyHash]*Customer]
	snapshot.Store(&keys)
	b.Run("snapshot", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				_ = (*snapshot.Load())[lookupKey]
			}
		})
	})
	var mu sync.RWMutex
	b.Run("locked", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				mu.RLock()
				_ = keys[lookupKey]
				mu.RUnlock()
			}
		})
	})
}
