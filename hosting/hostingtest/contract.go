// Package hostingtest contains ginkgo specs that every implementation of the
// interfaces of package hosting must pass.
package hostingtest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Adapter is the implementation under test, with access to the platform behind it.
type Adapter struct {
	Log     hosting.Log
	Servers hosting.Servers
	Usage   hosting.Usage
	VMs     hosting.VMs
	// FailureDomain accepts server orders and checks their fencing tokens. No order
	// has been sent to it.
	FailureDomain string
	// VM is the only entry of the VM list.
	VM hosting.VM
	// Trim removes the records of a stream below an offset.
	Trim func(stream string, below int64)
}

// Contract registers the specs. setUp returns a new adapter for each spec and
// registers its cleanup with ginkgo.DeferCleanup.
func Contract(name string, setUp func() Adapter) {
	ginkgo.Describe(name+" meets the platform contract", func() {
		var adapter Adapter
		var ctx context.Context
		ginkgo.BeforeEach(func() {
			adapter = setUp()
			bounded, cancel := context.WithTimeout(context.Background(), time.Minute)
			ctx = bounded
			ginkgo.DeferCleanup(cancel)
		})
		logContract(&adapter, &ctx)
		orderContract(&adapter, &ctx)
		usageContract(&adapter, &ctx)
		ginkgo.It("lists the VMs", func() {
			gomega.Expect(adapter.VMs.List(ctx)).To(gomega.Equal([]hosting.VM{adapter.VM}))
		})
	})
}

func logContract(adapter *Adapter, ctx *context.Context) {
	add := func(stream, data string) int64 {
		offset, outcome, err := adapter.Log.Append(*ctx, stream, []byte(data))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(outcome).To(gomega.Equal(hosting.OutcomeDone))
		return offset
	}
	// Replaying a stream requires that each record has its own offset, counted from
	// 0 per stream.
	ginkgo.It("numbers the records of each stream from 0 without gaps", func() {
		gomega.Expect(add("a", "one")).To(gomega.BeEquivalentTo(0))
		gomega.Expect(add("a", "two")).To(gomega.BeEquivalentTo(1))
		gomega.Expect(add("b", "other")).To(gomega.BeEquivalentTo(0))
		page, err := adapter.Log.Read(*ctx, "a", 0, 10, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page).To(gomega.Equal(hosting.Page{First: 0, Next: 2, Records: []hosting.Record{
			{Offset: 0, Data: []byte("one")}, {Offset: 1, Data: []byte("two")},
		}}))
	})
	// Records are CBOR: a changed byte would make them unreadable on replay.
	ginkgo.It("keeps arbitrary bytes", func() {
		data := make([]byte, 256)
		for i := range data {
			data[i] = byte(i)
		}
		add("a", string(data))
		page, err := adapter.Log.Read(*ctx, "a", 0, 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Records[0].Data).To(gomega.Equal(data))
	})
	ginkgo.It("gives concurrent appends distinct offsets at which they are read back", func() {
		const writers = 8
		var mu sync.Mutex
		byOffset := map[int64]string{}
		var group sync.WaitGroup
		for i := range writers {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				data := fmt.Sprint("record ", i)
				offset := add("a", data)
				mu.Lock()
				defer mu.Unlock()
				byOffset[offset] = data
			})
		}
		group.Wait()
		page, err := adapter.Log.Read(*ctx, "a", 0, writers, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Records).To(gomega.HaveLen(writers))
		for _, record := range page.Records {
			gomega.Expect(byOffset[record.Offset]).To(gomega.Equal(string(record.Data)))
		}
	})
	ginkgo.It("limits the number of records in a page and reports the end of the stream", func() {
		for i := range 5 {
			add("a", fmt.Sprint(i))
		}
		page, err := adapter.Log.Read(*ctx, "a", 1, 2, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Records).To(gomega.HaveLen(2))
		gomega.Expect(page.Records[1].Offset).To(gomega.BeEquivalentTo(2))
		gomega.Expect(page.Next).To(gomega.BeEquivalentTo(5))
	})
	ginkgo.It("returns an empty page at the end of a stream", func() {
		add("a", "one")
		page, err := adapter.Log.Read(*ctx, "a", 1, 2, time.Millisecond)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Records).To(gomega.BeEmpty())
		gomega.Expect(page.Next).To(gomega.BeEquivalentTo(1))
	})
	// Without the long poll, a reader would see a new record only at its next read.
	ginkgo.It("wakes a waiting reader at the next append", func() {
		pages := make(chan hosting.Page, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			page, err := adapter.Log.Read(*ctx, "a", 0, 1, 20*time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			pages <- page
		}()
		add("a", "one")
		var page hosting.Page
		gomega.Eventually(pages).WithTimeout(15 * time.Second).Should(gomega.Receive(&page))
		gomega.Expect(page.Records).To(gomega.HaveLen(1))
	})
	// A reader that mistook a trimmed stream for an empty one would replay it from
	// a wrong initial state.
	ginkgo.It("reports a read below the first kept offset", func() {
		for i := range 4 {
			add("a", fmt.Sprint(i))
		}
		adapter.Trim("a", 3)
		_, err := adapter.Log.Read(*ctx, "a", 2, 10, 0)
		var trimmed *hosting.TrimmedError
		gomega.Expect(errors.As(err, &trimmed)).To(gomega.BeTrue())
		gomega.Expect(trimmed.First).To(gomega.BeEquivalentTo(3))
		page, err := adapter.Log.Read(*ctx, "a", 3, 10, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.First).To(gomega.BeEquivalentTo(3))
		gomega.Expect(page.Records).To(gomega.HaveLen(1))
	})
	ginkgo.It("reports an append with an ended context as refused only if nothing was stored", func() {
		ended, cancel := context.WithCancel(*ctx)
		cancel()
		_, outcome, err := adapter.Log.Append(ended, "a", []byte("late"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(outcome).NotTo(gomega.Equal(hosting.OutcomeDone))
		if outcome == hosting.OutcomeRefused {
			gomega.Expect(add("a", "one")).To(gomega.BeEquivalentTo(0))
		}
	})
}

// expectStale checks that a call was refused because fence is old.
func expectStale(outcome hosting.Outcome, err error, fence int64) {
	ginkgo.GinkgoHelper()
	var stale *hosting.StaleFenceError
	gomega.Expect(errors.As(err, &stale)).To(gomega.BeTrue())
	gomega.Expect(stale.Fence).To(gomega.Equal(fence))
	gomega.Expect(outcome).To(gomega.Equal(hosting.OutcomeRefused))
}

func orderContract(adapter *Adapter, ctx *context.Context) {
	order := func(id string, fence int64, onDemand int) (hosting.Outcome, error) {
		return adapter.Servers.Order(*ctx, adapter.FailureDomain, hosting.ServerOrder{ID: id, Fence: fence, OnDemand: onDemand})
	}
	// A process that lost its lease must not change the servers (requirement P3).
	ginkgo.It("refuses an order with an old fencing token", func() {
		gomega.Expect(order("1", 7, 1)).To(gomega.Equal(hosting.OutcomeDone))
		outcome, err := order("2", 6, 3)
		expectStale(outcome, err, 7)
		gomega.Expect(adapter.Servers.List(*ctx)).To(gomega.HaveLen(1))
	})
	// A sender whose answer was lost sends the same order again.
	ginkgo.It("applies a repeated order once", func() {
		gomega.Expect(order("1", 7, 2)).To(gomega.Equal(hosting.OutcomeDone))
		gomega.Expect(order("1", 7, 2)).To(gomega.Equal(hosting.OutcomeDone))
		gomega.Expect(adapter.Servers.List(*ctx)).To(gomega.HaveLen(2))
	})
}

func usageContract(adapter *Adapter, ctx *context.Context) {
	report := func(fence, window, tokens int64) (hosting.Outcome, error) {
		return adapter.Usage.Report(*ctx, hosting.UsageReport{
			ID: fmt.Sprint(window), Window: window, Fence: fence, Reporter: "a",
			Figures: []hosting.UsageFigure{{Customer: "c", Resource: "m", TokensOut: tokens}},
		})
	}
	ginkgo.It("refuses a usage report with an old fencing token", func() {
		gomega.Expect(report(7, 60, 1)).To(gomega.Equal(hosting.OutcomeDone))
		outcome, err := report(6, 120, 1)
		expectStale(outcome, err, 7)
	})
	// A new lease holder repeats the figures that its predecessor logged; other
	// figures are a fault (requirement P6).
	ginkgo.It("accepts equal figures of a window again and refuses different ones", func() {
		gomega.Expect(report(7, 60, 1)).To(gomega.Equal(hosting.OutcomeDone))
		gomega.Expect(report(8, 60, 1)).To(gomega.Equal(hosting.OutcomeDone))
		outcome, err := report(8, 60, 2)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(outcome).To(gomega.Equal(hosting.OutcomeRefused))
	})
}
