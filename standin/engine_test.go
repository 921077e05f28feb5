package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin"
	"github.com/mimosakeel/mimosakeel/standin/answer"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "standin", suite, reporter)
}

const testTimeout = 20 * time.Second

func startEngine(change func(*engine.ServerConfig)) (*standin.Host, *engine.Server) {
	config := engine.ServerConfig{Engine: engine.Default("e", "m"), TimeScale: 20, Heartbeat: 20 * time.Millisecond}
	if change != nil {
		change(&config)
	}
	host, server, err := standin.StartEngine("127.0.0.1:0", config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(host.Stop)
	return host, server
}

// newClient returns a client with its own connection pool, so that tests don't
// share a frozen connection.
func newClient() *http.Client {
	transport := &http.Transport{}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

func send(client *http.Client, method, url string, header map[string]string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	DeferCleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return client.Do(request)
}

func prompt(text string, tokens int) backend.CompletionRequest {
	return backend.CompletionRequest{Model: "m", Prompt: text, MaxTokens: tokens, Stream: true}
}

func openStream(host *standin.Host, id string, body backend.CompletionRequest) *http.Response {
	header := map[string]string{backend.HeaderRequestID: id}
	response, err := send(newClient(), http.MethodPost, host.URL+"/v1/completions", header, body)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

// received is the content of a streamed answer, including damaged frames.
type received struct {
	ids       []string
	positions []int
	text      string
	heartbeat int
	garbage   int
	finished  bool
	done      bool
	err       error
}

func readAll(body io.Reader) received {
	var r received
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == ": hb":
			r.heartbeat++
		case !isData:
		case data == "[DONE]":
			r.done = true
		default:
			var chunk backend.Completion
			if json.Unmarshal([]byte(data), &chunk) != nil {
				r.garbage++
				continue
			}
			r.ids = append(r.ids, chunk.ID)
			r.positions = append(r.positions, *chunk.Position)
			r.text += chunk.Choices[0].Text
			r.finished = r.finished || chunk.Choices[0].FinishReason != nil
		}
	}
	r.err = lines.Err()
	return r
}

func requests(server *engine.Server) func() []engine.RequestEntry {
	return func() []engine.RequestEntry { return server.Audit().Requests }
}

var _ = Describe("engine answers", func() {
	It("streams the expected text with positions, heartbeats and end marker", func() {
		host, _ := startEngine(func(c *engine.ServerConfig) { c.Heartbeat = time.Millisecond })
		body := prompt("hello", 200)
		got := readAll(openStream(host, "r1", body).Body)
		Expect(answer.For(&body).Check(got.text)).To(Succeed())
		Expect(got.ids).To(HaveEach("r1"))
		Expect(got.positions).To(And(HaveLen(len(got.ids)), ContainElement(200)))
		Expect(got.heartbeat).To(BeNumerically(">", 0))
		Expect(got.finished && got.done).To(BeTrue())
	})
	// Guards against a resumed stream whose tokens differ from the original: the
	// gateway concatenates the output of two engines.
	It("resumes on another engine with the same tokens", func() {
		host, _ := startEngine(nil)
		body := prompt("hello "+answer.LengthMark(40), 0)
		header := map[string]string{backend.HeaderRequestID: "r1", backend.HeaderResumeFrom: "25"}
		response, err := send(newClient(), http.MethodPost, host.URL+"/v1/completions", header, body)
		Expect(err).NotTo(HaveOccurred())
		got := readAll(response.Body)
		Expect(got.positions[0]).To(Equal(25))
		Expect(answer.For(&body).Check(answer.For(&body).Text(0, 25) + got.text)).To(Succeed())
	})
	It("records the secret headers that reach it", func() {
		host, server := startEngine(nil)
		header := map[string]string{"Authorization": "Bearer x", backend.HeaderCustomer: "c"}
		_, err := send(newClient(), http.MethodPost, host.URL+"/v1/completions", header, prompt("a", 1))
		Expect(err).NotTo(HaveOccurred())
		entry := requests(server)()[0]
		Expect(entry.Leaked).To(Equal([]string{"Authorization"}))
		Expect(entry.Customer).To(Equal("c"))
	})
	It("ends a request whose client disconnects or that is canceled", func() {
		host, server := startEngine(nil)
		Expect(openStream(host, "leaves", prompt("a", 50_000)).Body.Close()).To(Succeed())
		kept := openStream(host, "canceled", prompt("b", 50_000))
		_, err := send(newClient(), http.MethodDelete, host.URL+"/v1/requests/canceled", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(readAll(kept.Body).done).To(BeFalse())
		canceled := HaveField("Outcome", engine.OutcomeCanceled)
		Eventually(requests(server)).WithTimeout(testTimeout).Should(And(HaveLen(2), HaveEach(canceled)))
	})
	It("imports a prefix from another engine", func() {
		source, _ := startEngine(nil)
		target, server := startEngine(nil)
		body := prompt(strings.Repeat("prefix. ", 200), 1)
		Expect(readAll(openStream(source, "r1", body).Body).done).To(BeTrue())
		blocks := backend.PrefixBlocks("m", body.Prompt)
		order := backend.KVBlocks{Model: "m", Blocks: blocks, Source: source.URL}
		response, err := send(newClient(), http.MethodPost, target.URL+"/v1/kv/import", nil, order)
		Expect(err).NotTo(HaveOccurred())
		var moved backend.KVBlocks
		Expect(json.NewDecoder(response.Body).Decode(&moved)).To(Succeed())
		Expect(moved.Blocks).To(Equal(blocks))
		Expect(readAll(openStream(target, "r2", body).Body).done).To(BeTrue())
		Eventually(requests(server)).WithTimeout(testTimeout).Should(HaveExactElements(HaveField("Cached", 384)))
	})
})

var _ = Describe("engine faults", func() {
	// Guards against faults without effect: a test that injects one would pass
	// without testing anything. The second request must be undamaged.
	DescribeTable("of frames", func(kind string, damaged func(received) bool) {
		host, server := startEngine(nil)
		body := prompt("hello", 30)
		server.Inject(fault.Fault{Kind: kind, Target: "r1", Count: 1})
		got := readAll(openStream(host, "r1", body).Body)
		Expect(damaged(got)).To(BeTrue(), "%+v", got)
		Expect(readAll(openStream(host, "r1", body).Body).text).To(Equal(answer.For(&body).Text(0, 30)))
	},
		Entry("drop", engine.FaultDropFrame, func(r received) bool { return r.done && len(r.text) < 120 }),
		Entry("duplicate", engine.FaultDuplicateFrame, func(r received) bool { return r.done && len(r.text) > 120 }),
		Entry("late", engine.FaultLateFrame, func(r received) bool { return r.done && len(r.text) > 120 }),
		Entry("foreign", engine.FaultMisroutedFrame, func(r received) bool { return r.done && r.ids[0] == "foreign-r1" }),
		Entry("garbage", engine.FaultGarbageFrame, func(r received) bool { return r.done && r.garbage == 1 }),
		Entry("other id", engine.FaultWrongID, func(r received) bool { return r.done && r.ids[0] == "foreign-r1" }),
		Entry("cut", engine.FaultCutStream, func(r received) bool { return !r.done && r.err != nil }),
		Entry("no end", engine.FaultNoEnd, func(r received) bool { return !r.done && !r.finished && r.err == nil }),
	)
	It("delivers a frame to another open stream", func() {
		host, server := startEngine(nil)
		victim := openStream(host, "r1", prompt("victim", 2000))
		server.Inject(fault.Fault{Kind: engine.FaultMisroutedFrame, Target: "r2", Count: 1})
		// A frame holds several tokens if they were generated before the writer ran.
		missing := 30*4 - len(readAll(openStream(host, "r2", prompt("other", 30)).Body).text)
		Expect(missing).To(BeNumerically(">", 0))
		got := readAll(victim.Body)
		Expect(got.ids).To(ContainElement("r2"))
		Expect(got.text).To(HaveLen(2000*4 + missing))
	})
	// Guards against a freeze that closes connections: clients would see an error
	// instead of a stream that stalls.
	It("freezes open connections while new ones work", func() {
		host, server := startEngine(nil)
		frozen := openStream(host, "r1", prompt("a", 50_000))
		server.Inject(fault.Fault{Kind: engine.FaultFreeze})
		read := make(chan received, 1)
		go func() { read <- readAll(frozen.Body) }()
		Expect(readAll(openStream(host, "r2", prompt("b", 20)).Body).done).To(BeTrue())
		Consistently(read).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		Expect(frozen.Body.Close()).To(Succeed())
	})
	It("crashes with all its connections", func() {
		host, server := startEngine(nil)
		stream := openStream(host, "r1", prompt("a", 50_000))
		server.Inject(fault.Fault{Kind: engine.FaultCrash})
		got := readAll(stream.Body)
		Expect(got.done).To(BeFalse())
		Expect(got.err).To(HaveOccurred())
		Eventually(host.Crashed()).WithTimeout(testTimeout).Should(BeClosed())
		_, err := send(newClient(), http.MethodGet, host.URL+"/v1/load", nil, nil)
		Expect(err).To(HaveOccurred())
	})
	It("accepts a request without answering it", func() {
		host, server := startEngine(nil)
		server.Inject(fault.Fault{Kind: engine.FaultHang, Target: "r1", Count: 1})
		client := newClient()
		client.Timeout = 100 * time.Millisecond
		header := map[string]string{backend.HeaderRequestID: "r1"}
		_, err := send(client, http.MethodPost, host.URL+"/v1/completions", header, prompt("a", 1))
		Expect(err).To(HaveOccurred())
		Expect(requests(server)()).To(HaveExactElements(HaveField("RequestID", "r1")))
		Expect(readAll(openStream(host, "r2", prompt("b", 1)).Body).done).To(BeTrue())
	})
	It("is slow while the fault lasts", func() {
		host, server := startEngine(nil)
		server.Inject(fault.Fault{Kind: engine.FaultSlow, Value: 1e6})
		stream := openStream(host, "r1", prompt("a", 50_000))
		read := make(chan received, 1)
		go func() { read <- readAll(stream.Body) }()
		Eventually(requests(server)).WithTimeout(testTimeout).Should(HaveLen(1))
		Consistently(func() int { return requests(server)()[0].Tokens }).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<", 5))
		Expect(stream.Body.Close()).To(Succeed())
		Eventually(read).WithTimeout(testTimeout).Should(Receive())
	})
	It("reports a false load", func() {
		host, server := startEngine(func(c *engine.ServerConfig) { c.Engine.LoadLag = 0 })
		openStream(host, "r1", prompt("a", 50_000))
		running := func() int {
			response, err := send(newClient(), http.MethodGet, host.URL+"/v1/load", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			var load backend.Load
			Expect(json.NewDecoder(response.Body).Decode(&load)).To(Succeed())
			return load.Running
		}
		Eventually(running).WithTimeout(testTimeout).Should(Equal(1))
		server.Inject(fault.Fault{Kind: engine.FaultFalseLoad})
		Expect(running()).To(Equal(0))
	})
})

var _ = Describe("engine orders", func() {
	sendOrder := func(host *standin.Host, order backend.Order) (int, backend.OrderResult) {
		response, err := send(newClient(), http.MethodPost, host.URL+"/v1/orders", nil, order)
		Expect(err).NotTo(HaveOccurred())
		var result backend.OrderResult
		Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
		return response.StatusCode, result
	}
	It("refuses a stale fencing token and keeps the highest", func() {
		host, server := startEngine(nil)
		status, result := sendOrder(host, backend.Order{ID: "1", Fence: 5, Command: backend.CommandFence})
		Expect(status).To(Equal(200))
		Expect(result).To(Equal(backend.OrderResult{Result: backend.ResultDone, Fence: 5}))
		status, result = sendOrder(host, backend.Order{ID: "2", Fence: 4, Command: backend.CommandDrain, Sender: "old"})
		Expect(status).To(Equal(409))
		Expect(result).To(Equal(backend.OrderResult{Error: backend.ErrorStaleFence, Fence: 5}))
		Expect(server.Audit().Orders[1]).To(And(HaveField("Order.Sender", "old"), HaveField("Result", backend.ErrorStaleFence)))
	})
	It("accepts a stale fencing token if configured to ignore it", func() {
		host, _ := startEngine(func(c *engine.ServerConfig) { c.IgnoreFence = true })
		sendOrder(host, backend.Order{ID: "1", Fence: 5, Command: backend.CommandFence})
		status, _ := sendOrder(host, backend.Order{ID: "2", Fence: 4, Command: backend.CommandFence})
		Expect(status).To(Equal(200))
	})
	// Guards against an order that is executed twice: a sender repeats an order
	// whose answer was lost.
	It("executes a repeated role change once and aborts the running requests", func() {
		host, server := startEngine(nil)
		stream := openStream(host, "r1", prompt("a", 50_000))
		order := backend.Order{ID: "1", Fence: 1, Command: backend.CommandSetRole, Role: backend.RoleDecode}
		server.Inject(fault.Fault{Kind: engine.FaultLoseAnswer, Target: "set_role", Count: 1})
		_, err := send(newClient(), http.MethodPost, host.URL+"/v1/orders", nil, order)
		Expect(err).To(HaveOccurred())
		Expect(readAll(stream.Body).done).To(BeFalse())
		status, _ := sendOrder(host, order)
		Expect(status).To(Equal(200))
		orders := server.Audit().Orders
		Expect(orders[0].Aborted).To(Equal(1))
		Expect(orders[1].Repeated).To(BeTrue())
	})
	It("refuses requests while it drains and reports them as not run", func() {
		host, _ := startEngine(nil)
		sendOrder(host, backend.Order{ID: "1", Command: backend.CommandDrain})
		response := openStream(host, "r1", prompt("a", 1))
		Expect(response.StatusCode).To(Equal(503))
		Expect(io.ReadAll(response.Body)).To(ContainSubstring(`"run":"not_run"`))
		sendOrder(host, backend.Order{ID: "2", Command: backend.CommandUndrain})
		Expect(readAll(openStream(host, "r1", prompt("a", 1)).Body).done).To(BeTrue())
	})
	It("crashes in the middle of a role change", func() {
		host, server := startEngine(nil)
		server.Inject(fault.Fault{Kind: engine.FaultCrashInChange, Count: 1})
		order := backend.Order{ID: "1", Command: backend.CommandSetRole, Role: backend.RoleDecode}
		_, err := send(newClient(), http.MethodPost, host.URL+"/v1/orders", nil, order)
		Expect(err).To(HaveOccurred())
		Eventually(host.Crashed()).WithTimeout(testTimeout).Should(BeClosed())
	})
})
