package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/load"
	"github.com/mimosakeel/mimosakeel/standin/app"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "load", suite, reporter)
}

func workload() load.Workload {
	return load.Workload{
		Seed: 7, Rate: 200, Duration: 200 * time.Millisecond, Model: "m",
		Phases: []load.Phase{{
			Prompt: load.Lengths{Median: 200, Sigma: 0.8, Max: 4000},
			Output: load.Lengths{Median: 20, Sigma: 0.8, Max: 200},
		}},
		Customers: []load.Customer{{Name: "large", Key: "k1", Share: 3}, {Name: "small", Key: "k2", Share: 1}},
		Prefixes:  4, PrefixTokens: 256, PrefixShare: 0.5,
	}
}

func startEngine() (string, *engine.Server) {
	core := engine.Default("e", "m")
	core.MaxWaiting = 1000
	service := engine.NewServer(engine.ServerConfig{Engine: core, TimeScale: 100})
	server := httptest.NewServer(service)
	DeferCleanup(service.Close)
	DeferCleanup(server.Close)
	return server.URL, service
}

func run(w load.Workload, urls ...string) *load.Report {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	report, err := load.Run(ctx, w, load.Options{URLs: urls})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("workload", func() {
	It("generates the same arrivals for the same seed, with the configured rate and shares", func() {
		w := workload()
		w.Duration = 50 * time.Second
		arrivals, err := w.Arrivals()
		Expect(err).NotTo(HaveOccurred())
		again, _ := w.Arrivals()
		Expect(again).To(Equal(arrivals))
		Expect(len(arrivals)).To(BeNumerically("~", 10_000, 400))
		large, prefixed, long := 0, 0, 0
		for i, arrival := range arrivals {
			Expect(i == 0 || arrivals[i-1].At <= arrival.At).To(BeTrue())
			large += count(arrival.Customer == 0)
			prefixed += count(arrival.Prefix >= 0)
			long += count(arrival.OutputTokens > 80)
		}
		Expect(large).To(BeNumerically("~", 7500, 300))
		Expect(prefixed).To(BeNumerically("~", 5000, 300))
		// 80 is four times the median: 4.2% of a log-normal with sigma 0.8.
		Expect(long).To(BeNumerically("~", 420, 120))
	})
	It("changes lengths and rate with the phases", func() {
		w := workload()
		w.Duration = 20 * time.Second
		w.Phases = append(w.Phases, w.Phases[0])
		w.Phases[1].From, w.Phases[1].RateFactor = 10*time.Second, 3
		w.Phases[1].Prompt = load.Lengths{Median: 2000, Max: 2000}
		w.PrefixShare = 0
		arrivals, err := w.Arrivals()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(arrivals)).To(BeNumerically("~", 8000, 400))
		Expect(arrivals[len(arrivals)-1].PromptTokens).To(Equal(2000))
	})
	// Guards against equal prompts: they would hide an answer that reaches the
	// wrong client.
	It("shares prefixes but no prompts", func() {
		w := workload()
		arrivals, _ := w.Arrivals()
		prompts := map[string]bool{}
		first := map[[2]int]uint64{}
		for _, arrival := range arrivals {
			request := w.Request(arrival)
			text := request.PromptText()
			Expect(prompts[text]).To(BeFalse())
			prompts[text] = true
			Expect(backend.EstimateTokens(len(request.Messages[0].Content))).To(Equal(arrival.PromptTokens))
			if arrival.Prefix < 0 {
				continue
			}
			family := [2]int{arrival.Customer, arrival.Prefix}
			block := backend.PrefixBlocks("m", text)[2]
			if earlier, known := first[family]; known {
				Expect(block).To(Equal(earlier))
			}
			first[family] = block
		}
		Expect(len(first)).To(BeNumerically("<", len(arrivals)/4))
	})
	DescribeTable("refuses", func(change func(*load.Workload)) {
		w := workload()
		change(&w)
		_, err := w.Arrivals()
		Expect(err).To(HaveOccurred())
	},
		Entry("no rate", func(w *load.Workload) { w.Rate = 0 }),
		Entry("no customer", func(w *load.Workload) { w.Customers = nil }),
		Entry("no share", func(w *load.Workload) { w.Customers[0].Share = 0 }),
		Entry("no phase at the start", func(w *load.Workload) { w.Phases[0].From = 1 }),
		Entry("service calls without a service", func(w *load.Workload) { w.ServiceShare = 1 }),
	)
})

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

var _ = Describe("run", func() {
	It("finds whole answers and counts them per customer", func() {
		url, _ := startEngine()
		w := workload()
		w.BatchShare, w.UnstreamedShare = 0.4, 0.5
		report := run(w, url)
		Expect(report.Total.Requests).To(BeNumerically(">", 20))
		Expect(report.Total.Whole).To(Equal(report.Total.Requests), "%+v", report)
		Expect(report.ByCustomer["large"].Whole + report.ByCustomer["small"].Whole).To(Equal(report.Total.Whole))
		Expect(report.FirstToken.Count).To(BeNumerically(">=", report.ByKind[load.KindInteractive].Requests))
		Expect(report.FirstToken.Count).To(BeNumerically("<", report.Total.Requests), "some answers are not streamed")
		var text bytes.Buffer
		Expect(report.Print(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("customer small"))
		Expect(json.Marshal(report)).To(ContainSubstring(`"good_per_second"`))
	})
	// Guards against a check that misses a kind of damage: these checks are the
	// evidence for guarantee 7.
	DescribeTable("finds damaged answers", func(kind string, outcome func(load.Counts) int64) {
		url, service := startEngine()
		service.Inject(fault.Fault{Kind: kind, Skip: 3, Count: 1})
		report := run(workload(), url)
		Expect(outcome(report.Total)).To(BeEquivalentTo(1), "%+v", report)
		Expect(report.Total.Whole).To(Equal(report.Total.Requests - 1))
	},
		Entry("dropped frame", engine.FaultDropFrame, wrong),
		Entry("duplicate frame", engine.FaultDuplicateFrame, wrong),
		Entry("late frame", engine.FaultLateFrame, wrong),
		Entry("garbage", engine.FaultGarbageFrame, wrong),
		Entry("cut", engine.FaultCutStream, cut),
		Entry("no end", engine.FaultNoEnd, cut),
		Entry("refusal", engine.FaultRefuse, func(c load.Counts) int64 { return c.Refused }),
	)
	It("finds both answers that a crossed frame damages", func() {
		url, service := startEngine()
		service.Inject(fault.Fault{Kind: engine.FaultMisroutedFrame, Skip: 3, Count: 1})
		report := run(workload(), url)
		// The other stream may end before it gets the frame.
		Expect(report.Total.Wrong).To(Or(BeEquivalentTo(1), BeEquivalentTo(2)))
		Expect(report.Total.Whole).To(Equal(report.Total.Requests - report.Total.Wrong))
	})
	It("finds an answer to another request", func() {
		url, _ := startEngine()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := backend.CompletionRequest{Model: "m", Prompt: "other", MaxTokens: 3, Stream: true}
			data, _ := json.Marshal(body)
			response, err := http.Post(url+"/v1/completions", "application/json", bytes.NewReader(data))
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_ = response.Write(&bodyOnly{w})
		}))
		DeferCleanup(server.Close)
		w := workload()
		w.BatchShare, w.UnstreamedShare = 0.4, 0.5
		report := run(w, server.URL)
		Expect(report.Total.Whole).To(BeZero())
	})
	It("counts refusals by status, code and run", func() {
		url, service := startEngine()
		service.Inject(fault.Fault{Kind: engine.FaultRefuse})
		report := run(workload(), url)
		Expect(report.Refusals).To(Equal(map[string]int64{"503 busy not_run": report.Total.Requests}))
		Expect(report.Decision.Count).To(Equal(report.Total.Requests))
		Expect(report.Total.Good).To(BeZero())
	})
	// Guards against a closed loop: the server answers only when all requests have
	// arrived, so a generator that waits for answers would hang.
	It("sends on time however many requests are open", func() {
		w := workload()
		arrivals, _ := w.Arrivals()
		var all sync.WaitGroup
		all.Add(len(arrivals))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			all.Done()
			all.Wait()
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		DeferCleanup(server.Close)
		report := run(w, server.URL)
		Expect(report.Total.Refused).To(BeEquivalentTo(len(arrivals)))
	})
	It("counts the requests that it doesn't send and the clients that leave", func() {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection only after reading the body.
			_ = json.NewDecoder(r.Body).Decode(&backend.CompletionRequest{})
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		w := workload()
		w.Patience = 2 * time.Second
		report, err := load.Run(context.Background(), w, load.Options{URLs: []string{server.URL}, MaxOpen: 5})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Total.LeftWaiting).To(BeEquivalentTo(5))
		Expect(report.Total.NotSent).To(Equal(report.Total.Requests - 5))
	})
	// Guards against a run that doesn't end because a connection is open but
	// carries no data.
	It("cancels streams without data", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&backend.CompletionRequest{})
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		options := load.Options{URLs: []string{server.URL}, Silence: 50 * time.Millisecond}
		report, err := load.Run(context.Background(), workload(), options)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Total.Cut + report.Total.Errors).To(Equal(report.Total.Requests))
	})
	It("cancels the requests of clients that leave during the answer", func() {
		url, service := startEngine()
		w := workload()
		w.LeaveShare = 1
		report := run(w, url)
		Expect(report.Total.LeftReading).To(Equal(report.Total.Requests))
		Expect(service.Audit().Requests).To(HaveLen(int(report.Total.Requests)))
	})
	It("checks the answers of plain services", func() {
		service := app.New("stamps", nil)
		server := httptest.NewServer(http.StripPrefix("/services/stamps", service))
		DeferCleanup(server.Close)
		w := workload()
		w.Service, w.ServiceShare, w.StampShare = "stamps", 1, 0.5
		service.Inject(fault.Fault{Kind: app.FaultCutAnswer, Count: 1})
		report := run(w, server.URL)
		Expect(report.Total.Cut).To(BeEquivalentTo(1))
		Expect(report.Total.Whole).To(Equal(report.Total.Requests - 1))
		Expect(service.Audit()).To(HaveLen(int(report.Total.Requests)))
	})
})

// bodyOnly forwards only the body of a response that is written to it.
type bodyOnly struct{ http.ResponseWriter }

func (b *bodyOnly) Write(data []byte) (int, error) {
	_, body, found := strings.Cut(string(data), "\r\n\r\n")
	if found {
		return b.ResponseWriter.Write([]byte(body))
	}
	return b.ResponseWriter.Write(data)
}

func wrong(c load.Counts) int64 { return c.Wrong }

func cut(c load.Counts) int64 { return c.Cut }

var _ = DescribeTable("a good answer", func(r load.Result, good bool) {
	r.Arrival.Kind = load.KindInteractive
	Expect(r.Good()).To(Equal(good))
},
	Entry("is whole and in time", load.Result{Outcome: load.OutcomeWhole, FirstToken: load.FirstTokenLimit}, true),
	Entry("is whole", load.Result{Outcome: load.OutcomeCut}, false),
	Entry("starts in time", load.Result{Outcome: load.OutcomeWhole, FirstToken: load.FirstTokenLimit + 1}, false),
	Entry("may have 1 slow gap in 20", load.Result{Outcome: load.OutcomeWhole, Gaps: gaps(19, 1)}, true),
	Entry("may not have 2 slow gaps in 20", load.Result{Outcome: load.OutcomeWhole, Gaps: gaps(18, 2)}, false),
)

func gaps(fast, slow int) []time.Duration {
	var all []time.Duration
	for range slow {
		all = append(all, load.GapLimit+1)
	}
	for range fast {
		all = append(all, load.GapLimit)
	}
	return all
}
