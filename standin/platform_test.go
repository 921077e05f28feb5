package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/standin"
	"github.com/mimosakeel/mimosakeel/standin/app"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func startPlatform(change func(*fake.Config)) (*fake.Platform, *httpapi.Client) {
	config := fake.Config{
		FailureDomains: []string{"fd1"},
		LeadTime:       10 * time.Millisecond,
		StopNotice:     30 * time.Millisecond,
		EvictNotice:    30 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	engines := engine.ServerConfig{Engine: engine.Default("", "m"), TimeScale: 20}
	host, service, err := standin.StartPlatform("127.0.0.1:0", config, engines)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(host.Stop)
	platformURL = host.URL
	return service, httpapi.New(host.URL, nil)
}

// platformURL is the base URL of the platform that was started last.
var platformURL string

var _ = Describe("platform", func() {
	ctx := context.Background()
	order := func(client *httpapi.Client, id string, fence int64, onDemand, cheap int) (hosting.Outcome, error) {
		return client.Servers().Order(ctx, "fd1", hosting.ServerOrder{
			ID: id, Fence: fence, OnDemand: onDemand, Cheap: cheap, Sender: "s",
		})
	}
	list := func(client *httpapi.Client) func() ([]hosting.Server, error) {
		return func() ([]hosting.Server, error) { return client.Servers().List(ctx) }
	}
	live := HaveField("State", hosting.ServerLive)

	It("starts and stops engines as ordered", func() {
		_, client := startPlatform(nil)
		Expect(order(client, "1", 1, 1, 1)).To(Equal(hosting.OutcomeDone))
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(2), HaveEach(live)))
		servers, _ := list(client)()
		response, err := send(newClient(), http.MethodGet, servers[0].URL+"/v1/load", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		var load backend.Load
		Expect(json.NewDecoder(response.Body).Decode(&load)).To(Succeed())
		Expect(load.Engine).To(Equal(servers[0].ID))
		Expect(order(client, "2", 1, 1, 0)).To(Equal(hosting.OutcomeDone))
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(1), HaveEach(HaveField("Class", hosting.ClassOnDemand))))
		_, err = send(newClient(), http.MethodGet, servers[1].URL+"/v1/load", nil, nil)
		Expect(err).To(HaveOccurred())
	})
	It("evicts the cheap servers of a failure domain with notice", func() {
		service, client := startPlatform(func(c *fake.Config) { c.EvictNotice = time.Hour })
		_, _ = order(client, "1", 1, 1, 1)
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(2), HaveEach(live)))
		service.Inject(fault.Fault{Kind: fake.FaultEvict, Target: "fd1"})
		Expect(list(client)()).To(ContainElement(And(
			HaveField("Class", hosting.ClassCheap),
			HaveField("State", hosting.ServerLeaving),
			HaveField("LeaveAtMs", BeNumerically(">", time.Now().UnixMilli())),
		)))
		service.Inject(fault.Fault{Kind: fake.FaultEvict, Target: "fd1", DelayMs: 1})
		Eventually(list(client)).WithTimeout(testTimeout).Should(HaveLen(1))
	})
	// Guards against a crashed server that stays in the list: open intents for it
	// would never be closed.
	It("replaces a crashed engine after a lag", func() {
		_, client := startPlatform(func(c *fake.Config) { c.CrashLag, c.UncheckedEvery = 10*time.Millisecond, 2 })
		_, _ = order(client, "1", 1, 1, 0)
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(1), HaveEach(live)))
		servers, _ := list(client)()
		Expect(servers[0].ChecksFence).To(BeTrue())
		_, err := send(newClient(), http.MethodPost, servers[0].URL+"/faults", nil, fault.Fault{Kind: engine.FaultCrash})
		Expect(err == nil || strings.Contains(err.Error(), "reset") || strings.Contains(err.Error(), "EOF")).To(BeTrue())
		replaced := And(HaveLen(1), HaveEach(live), HaveEach(HaveField("ID", Not(Equal(servers[0].ID)))))
		Eventually(list(client)).WithTimeout(testTimeout).Should(replaced)
		servers, _ = list(client)()
		Expect(servers[0].ChecksFence).To(BeFalse())
	})
	// Guards against losing the audits of stopped engines: the fault tests of
	// package proof check their properties P2 (among others, no order aborts a
	// request) and P11 against them.
	It("keeps the audits of engines that have stopped", func() {
		service, client := startPlatform(nil)
		_, _ = order(client, "1", 1, 0, 1)
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(1), HaveEach(live)))
		servers, _ := list(client)()
		stream := openStream(&standin.Host{URL: servers[0].URL}, "r1", prompt("a", 50_000))
		service.Inject(fault.Fault{Kind: fake.FaultEvict})
		got := readAll(stream.Body)
		Expect(got.done).To(BeFalse())
		Expect(got.err).To(HaveOccurred())
		Eventually(list(client)).WithTimeout(testTimeout).Should(BeEmpty())
		response, err := send(newClient(), http.MethodGet, platformURL+"/audit/engines", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		var audits map[string]engine.Audit
		Expect(json.NewDecoder(response.Body).Decode(&audits)).To(Succeed())
		Expect(audits[servers[0].ID].Requests).To(HaveExactElements(HaveField("RequestID", "r1")))
	})
	// Guards against a shutdown that waits for a long-polling read.
	It("shuts down while a read waits", func() {
		host, service, err := standin.StartPlatform("127.0.0.1:0", fake.Config{}, engine.ServerConfig{})
		Expect(err).NotTo(HaveOccurred())
		// The server may close a connection whose request it has not read yet. The
		// read is in progress once it has used up this fault.
		service.Inject(fault.Fault{Kind: fake.FaultDelay, Target: "read", Count: 1})
		pages := make(chan hosting.Page, 1)
		go func() {
			defer GinkgoRecover()
			page, err := httpapi.New(host.URL, nil).Read(ctx, "a", 0, 1, 25*time.Second)
			Expect(err).NotTo(HaveOccurred())
			pages <- page
		}()
		Eventually(service.Faults).WithTimeout(testTimeout).Should(BeEmpty())
		host.Stop()
		Eventually(pages).WithTimeout(testTimeout).Should(Receive())
	})
	// Guards against engines that load models without the weight store's rate
	// limit.
	It("refuses a model load over the rate of the weight store", func() {
		_, client := startPlatform(func(c *fake.Config) { c.WeightBurst, c.WeightLoadsPerSecond = 1, 0.001 })
		_, _ = order(client, "1", 1, 1, 0)
		Eventually(list(client)).WithTimeout(testTimeout).Should(And(HaveLen(1), HaveEach(live)))
		servers, _ := list(client)()
		var statuses []int
		for _, model := range []string{"m2", "m3"} {
			load := backend.Order{ID: model, Command: backend.CommandLoad, Model: model}
			response, err := send(newClient(), http.MethodPost, servers[0].URL+"/v1/orders", nil, load)
			Expect(err).NotTo(HaveOccurred())
			statuses = append(statuses, response.StatusCode)
		}
		Expect(statuses).To(Equal([]int{200, 409}))
	})
	It("records every order with sender, fencing token and result", func() {
		service, client := startPlatform(nil)
		_, _ = order(client, "1", 5, 0, 0)
		_, _ = order(client, "2", 4, 3, 0)
		service.Inject(fault.Fault{Kind: fake.FaultIgnoreFence, Target: "orders", Count: 1})
		_, _ = order(client, "3", 4, 0, 0)
		service.Inject(fault.Fault{Kind: fake.FaultNoEffect, Target: "orders", Count: 1})
		Expect(order(client, "4", 5, 9, 0)).To(Equal(hosting.OutcomeDone))
		Expect(list(client)()).To(BeEmpty())
		var results []string
		for _, entry := range service.Audit().Orders {
			Expect(entry.Order.Sender).To(Equal("s"))
			results = append(results, fmt.Sprintf("%d/%d %s", entry.Order.Fence, entry.Highest, entry.Result))
		}
		Expect(results).To(Equal([]string{"5/0 accepted", "4/5 stale_fence", "4/5 accepted", "5/5 no_effect"}))
	})
	// Guards against append faults without effect. Tests inject them to check that
	// state built from the log tolerates late and duplicate records.
	It("stores appends late or twice", func() {
		service, client := startPlatform(nil)
		service.Inject(fault.Fault{Kind: fake.FaultAppendTwice, Target: "a", Count: 1})
		_, outcome, err := client.Append(ctx, "a", []byte("one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeDone))
		service.Inject(fault.Fault{Kind: fake.FaultAppendLate, Target: "a", Count: 1, DelayMs: 20})
		_, outcome, err = client.Append(ctx, "a", []byte("two"))
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
		page, err := client.Read(ctx, "a", 2, 10, testTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(Equal([]hosting.Record{{Offset: 2, Data: []byte("two")}}))
	})
	It("simulates an outage of the log service", func() {
		service, client := startPlatform(nil)
		service.Inject(fault.Fault{Kind: fake.FaultOutage, Target: "log"})
		_, outcome, err := client.Append(ctx, "a", nil)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
		Expect(list(client)()).To(BeEmpty(), "the outage affects only the log")
		service.Inject(fault.Fault{Kind: fault.KindClear})
		offset, _, err := client.Append(ctx, "a", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(BeEquivalentTo(0), "an append during the outage has no effect")
	})
	It("retains a limited number of records", func() {
		service, client := startPlatform(func(c *fake.Config) { c.RetainRecords, c.KeepTrimmed = 3, true })
		for range 5 {
			_, _, err := client.Append(ctx, "a", nil)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := client.Read(ctx, "a", 1, 10, 0)
		Expect(err).To(MatchError(&hosting.TrimmedError{Stream: "a", First: 2}))
		// The checks of the fault tests need the trimmed records too.
		for i, record := range service.History("a") {
			Expect(record.Offset).To(BeEquivalentTo(i))
		}
		Expect(service.History("a")).To(HaveLen(5))
	})
	It("limits the rate of appends", func() {
		service, client := startPlatform(func(c *fake.Config) { c.AppendsPerSecond = 10 })
		refused := 0
		for range 5 {
			if _, outcome, _ := client.Append(ctx, "a", nil); outcome == hosting.OutcomeRefused {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(service.Audit().AppendsRefused).To(BeEquivalentTo(refused))
	})
	It("shows changes of the VM list after the lag", func() {
		first := hosting.VM{ID: "vm1", State: hosting.VMLive}
		service, client := startPlatform(func(c *fake.Config) { c.VMLag, c.VMs = time.Hour, []hosting.VM{first} })
		service.SetVMs(nil)
		Expect(client.VMs().List(ctx)).To(Equal([]hosting.VM{first}))
	})
	It("limits the rate of the weight store", func() {
		_, client := startPlatform(func(c *fake.Config) { c.WeightBurst, c.WeightLoadsPerSecond = 1, 0.001 })
		Expect(client.Weights(ctx, "m", "1")).To(HaveField("Version", "1"))
		_, err := client.Weights(ctx, "m", "1")
		Expect(err).To(MatchError(ContainSubstring("weight_rate")))
	})
})

var _ = Describe("plain service", func() {
	start := func() (*standin.Host, *app.App) {
		host, service, err := standin.StartApp("127.0.0.1:0", "stamps")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(host.Stop)
		return host, service
	}
	header := map[string]string{backend.HeaderRequestID: "r1", backend.HeaderCustomer: "c"}

	// Guards against an audit that misses an executed call or lists one that did
	// not run: tests of at-most-once execution rely on it.
	DescribeTable("records exactly the executed calls under faults", func(kind string, answered bool, runs int) {
		host, service := start()
		service.Inject(fault.Fault{Kind: kind, Target: "/stamps", Count: 1})
		client := newClient()
		client.Timeout = 300 * time.Millisecond
		response, err := send(client, http.MethodPost, host.URL+"/stamps", header, "x")
		if err == nil {
			var got app.Answer
			err = json.NewDecoder(response.Body).Decode(&got)
		}
		Expect(err == nil).To(Equal(answered))
		Expect(service.Audit()).To(HaveLen(runs))
		if runs > 0 {
			Expect(service.Audit()[0]).To(And(HaveField("RequestID", "r1"), HaveField("Customer", "c"), HaveField("Stamp", BeEquivalentTo(1))))
		}
	},
		Entry("none", "other", true, 1),
		Entry("delay", app.FaultDelay, true, 1),
		Entry("close before", app.FaultCloseBefore, false, 0),
		Entry("close after", app.FaultCloseAfter, false, 1),
		Entry("lost answer", app.FaultLoseAnswer, false, 1),
		Entry("cut answer", app.FaultCutAnswer, false, 1),
	)
	It("answers repeated status calls equally and without stamps", func() {
		host, service := start()
		for range 2 {
			response, err := send(newClient(), http.MethodGet, host.URL+"/status/7", header, nil)
			Expect(err).NotTo(HaveOccurred())
			var got app.Answer
			Expect(json.NewDecoder(response.Body).Decode(&got)).To(Succeed())
			Expect(got.Status).To(Equal(app.Status("7")))
		}
		Expect(service.Audit()).To(HaveEach(HaveField("Stamp", BeZero())))
	})
})
