package httpapi_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/hosting/hostingtest"
	"github.com/mimosakeel/mimosakeel/hosting/httpapi"
	"github.com/mimosakeel/mimosakeel/httpstrict"
	"github.com/mimosakeel/mimosakeel/internal/rawserver"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "httpapi", suite, reporter)
}

func startFake() (*fake.Platform, *httpapi.Client) {
	vm := hosting.VM{ID: "vm1", Addr: "127.0.0.1", FailureDomain: "fd1", State: hosting.VMLive}
	service := fake.New(fake.Config{FailureDomains: []string{"fd1"}, LeadTime: time.Hour, VMs: []hosting.VM{vm}})
	server := httptest.NewServer(service)
	DeferCleanup(service.Close)
	DeferCleanup(server.Close)
	return service, httpapi.New(server.URL, nil)
}

var _ = Describe("contract", func() {
	hostingtest.Contract("httpapi", func() hostingtest.Adapter {
		service, client := startFake()
		return hostingtest.Adapter{
			Log: client, Servers: client.Servers(), Usage: client, VMs: client.VMs(),
			FailureDomain: "fd1",
			VM:            hosting.VM{ID: "vm1", Addr: "127.0.0.1", FailureDomain: "fd1", State: hosting.VMLive},
			Trim: func(stream string, below int64) {
				service.Inject(fault.Fault{Kind: fake.FaultTrim, Target: stream, Value: float64(below)})
			},
		}
	})
})

var _ = Describe("outcomes", func() {
	ctx := context.Background()
	serve := func(handler http.HandlerFunc) *httpapi.Client {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return httpapi.New(server.URL, nil)
	}

	// After a wrong "refused" the caller would repeat an append that is stored;
	// after an unnecessary "unknown" it only has to read the stream.
	DescribeTable("of an append", func(status int, body string, want hosting.Outcome) {
		client := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		offset, outcome, err := client.Append(ctx, "a", []byte("x"))
		Expect(outcome).To(Equal(want))
		if want == hosting.OutcomeDone {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(HaveOccurred())
		Expect(offset).To(Equal(hosting.NoOffset))
	},
		Entry("stored", 200, `{"offset":4}`, hosting.OutcomeDone),
		Entry("over the rate", 429, `{"error":"append_rate"}`, hosting.OutcomeRefused),
		Entry("unavailable", 503, `{"error":"outage"}`, hosting.OutcomeUnknown),
		Entry("bad gateway without body", 502, ``, hosting.OutcomeUnknown),
		Entry("redirect", 307, ``, hosting.OutcomeUnknown),
		Entry("answer without offset", 200, `{}`, hosting.OutcomeUnknown),
		Entry("negative offset", 200, `{"offset":-1}`, hosting.OutcomeUnknown),
		Entry("answer that is not JSON", 200, `<html>`, hosting.OutcomeUnknown),
		Entry("answer over the limit", 200, `{"offset":4}`+strings.Repeat(" ", 5<<20), hosting.OutcomeUnknown),
	)

	It("is refused if nothing listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, outcome, err := httpapi.New("http://"+listener.Addr().String(), nil).Append(ctx, "a", nil)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeRefused))
	})

	DescribeTable("is unknown if the answer is malformed", func(client *http.Client, head string) {
		addr := rawserver.Start(GinkgoTB(), func(conn rawserver.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Content-Length: 12\r\n\r\n{\"offset\":4}")
		})
		_, outcome, err := httpapi.New("http://"+addr, client).Append(ctx, "a", []byte("x"))
		var malformed *httpstrict.MalformedError
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
	},
		Entry("status", nil, "HTTP/1.1 000 OK\r\n"),
		Entry("name", nil, "HTTP/1.1 200 OK\r\nX Y: z\r\n"),
		Entry("refusal", nil, "HTTP/1.1 409 Conflict\r\nX Y: z\r\n"),
		Entry("client without a transport", &http.Client{}, "HTTP/1.1 200 OK\r\nX Y: z\r\n"),
	)

	It("is unknown if the answer is lost after the append", func() {
		service, client := startFake()
		service.Inject(fault.Fault{Kind: fake.FaultLoseAnswer, Target: "append", Count: 1})
		_, outcome, err := client.Append(ctx, "a", []byte("x"))
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
		page, err := client.Read(ctx, "a", 0, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
	})

	// The HTTP client must not retry on its own: an append on a pooled connection
	// that breaks may already be stored.
	It("sends an append once even if its pooled connection breaks", func() {
		var calls atomic.Int32
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, `{"offset":0}`)
		})
		_, _, err := client.Append(ctx, "a", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		_, outcome, err := client.Append(ctx, "a", []byte("x"))
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})

	It("is unknown if the caller's deadline passes while the platform is silent", func() {
		service, client := startFake()
		service.Inject(fault.Fault{Kind: fake.FaultHang, Target: "orders"})
		bounded, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		outcome, err := client.Servers().Order(bounded, "fd1", hosting.ServerOrder{ID: "1"})
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(outcome).To(Equal(hosting.OutcomeUnknown))
	})

	DescribeTable("of an order", func(status int, body string, want hosting.Outcome) {
		client := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		outcome, _ := client.Servers().Order(ctx, "fd1", hosting.ServerOrder{ID: "1"})
		Expect(outcome).To(Equal(want))
	},
		Entry("accepted", 200, `{"accepted":true}`, hosting.OutcomeDone),
		Entry("not accepted", 200, `{"accepted":false}`, hosting.OutcomeRefused),
		Entry("without the field accepted", 200, `{}`, hosting.OutcomeUnknown),
		Entry("stale", 409, `{"error":"stale_fence","fence":4}`, hosting.OutcomeRefused),
	)

	// With an undetected gap, two daemons would replay the log to different states.
	DescribeTable("a malformed page is an error", func(body string) {
		client := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := client.Read(ctx, "a", 3, 2, 0)
		Expect(err).To(HaveOccurred())
	},
		Entry("gap", `{"first":0,"next":9,"records":[{"offset":3,"data":""},{"offset":5,"data":""}]}`),
		Entry("other start", `{"first":0,"next":9,"records":[{"offset":2,"data":""}]}`),
		Entry("record beyond the end", `{"first":0,"next":3,"records":[{"offset":3,"data":""}]}`),
		Entry("too many records", `{"first":0,"next":9,"records":[{"offset":3},{"offset":4},{"offset":5}]}`),
		Entry("end before start", `{"first":4,"next":3,"records":[]}`),
		Entry("cut off", `{"first":0,"next":9,"records":[{"offset":3,`),
	)
})
