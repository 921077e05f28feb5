package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// launch runs a command and returns the URL that it prints, a channel that
// receives its result and a function that stops it.
func launch(arguments ...string) (url string, ended <-chan error, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	reader, writer := io.Pipe()
	result := make(chan error, 1)
	go func() {
		result <- standin.Command(writer).ParseAndRun(ctx, arguments)
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(line, "url=")
	Expect(found).To(BeTrue(), line)
	url, _, _ = strings.Cut(rest, " ")
	return url, result, cancel
}

var _ = Describe("command", func() {
	// Guards against a command whose address scripts can't parse, or that doesn't
	// exit when a signal cancels its context.
	DescribeTable("prints its address, serves and stops", func(arguments ...string) {
		url, ended, stop := launch(arguments...)
		response, err := send(newClient(), http.MethodGet, url+"/audit", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
		stop()
		Eventually(ended).WithTimeout(testTimeout).Should(Receive(BeNil()))
		_, err = send(newClient(), http.MethodGet, url+"/audit", nil, nil)
		Expect(err).To(HaveOccurred())
	},
		Entry("engine", "engine", "-time-scale", "5", "-role", "decode"),
		Entry("app", "app", "-name", "stamps", "-distance", "1ms"),
		Entry("platform", "platform", "-on-demand", "1", "-vm", "vm1,127.0.0.1:1,fd1"),
	)
	It("runs plain services and engines in each failure domain", func() {
		url, _, _ := launch("platform", "-failure-domains", "a,b", "-on-demand", "1", "-lead-time", "1ms", "-service", "stamps")
		servers := func() []hosting.Server {
			response, err := send(newClient(), http.MethodGet, url+"/servers", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			var list []hosting.Server
			Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed())
			return list
		}
		live := HaveEach(HaveField("State", hosting.ServerLive))
		Eventually(servers).WithTimeout(testTimeout).Should(And(HaveLen(4), live))
		for _, server := range servers() {
			response, err := send(newClient(), http.MethodGet, server.URL+"/healthz", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(200))
		}
	})
	It("ends with an error after a crash by fault", func() {
		url, ended, _ := launch("engine")
		_, _ = send(newClient(), http.MethodPost, url+"/faults", nil, fault.Fault{Kind: engine.FaultCrash})
		Eventually(ended).WithTimeout(testTimeout).Should(Receive(MatchError(standin.ErrCrashed)))
	})
	It("refuses unknown flags and malformed values", func() {
		for _, arguments := range [][]string{{"platform", "-vm", "x"}, {"platform", "-app", "x"}, {"app", "-unknown"}} {
			Expect(standin.Command(io.Discard).ParseAndRun(context.Background(), arguments)).NotTo(Succeed())
		}
	})
})
