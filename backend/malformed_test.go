package backend_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/internal/rawserver"
)

// callsTo returns the calls of this package's clients, by name. Each returns its error.
func callsTo(url string) map[string]func() error {
	ctx := context.Background()
	engines, services, client := backend.NewEngines(nil), backend.NewServices(nil), backend.NewClient(nil, time.Second)
	return map[string]func() error{
		"service": func() error {
			resp, err := services.Do(ctx, url, backend.ServiceRequest{ID: "r", Method: http.MethodPost, Path: "/"})
			if err != nil {
				return err
			}
			resp.Close()
			return nil
		},
		"client": func() error {
			req, _ := http.NewRequest(http.MethodGet, url, nil)
			resp, err := client.Do(req, backend.CallOptions{})
			if err != nil {
				return err
			}
			resp.Close()
			return nil
		},
		"stream": func() error {
			stream, err := engines.Open(ctx, url, backend.StreamRequest{ID: "r", Path: "/v1/completions"})
			if err != nil {
				return err
			}
			stream.Close()
			return nil
		},
		"load": func() error {
			_, err := engines.Load(ctx, url)
			return err
		},
	}
}

// Guards against malformed heads that any of the clients takes for an answer.
func TestMalformedHeadFails(t *testing.T) {
	for name, head := range map[string]string{
		"status": "HTTP/1.1 000 OK\r\n",
		"name":   "HTTP/1.1 200 OK\r\nX Y: z\r\n",
	} {
		addr := rawserver.Start(t, func(conn rawserver.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
		})
		for caller, call := range callsTo("http://" + addr) {
			t.Run(name+" "+caller, func(t *testing.T) {
				g := NewWithT(t)
				var failed *backend.CallError
				g.Expect(call()).To(BeAssignableToTypeOf(failed))
				g.Expect(call()).To(HaveField("Failure", backend.FailureMalformed))
				g.Expect(call()).To(HaveField("Written", true))
			})
		}
		t.Run(name+" order", func(t *testing.T) {
			_, outcome, err := backend.NewEngines(nil).Order(context.Background(), "http://"+addr, backend.Order{ID: "1", Command: backend.CommandDrain}, nil)
			NewWithT(t).Expect(err).To(HaveField("Failure", backend.FailureMalformed))
			NewWithT(t).Expect(outcome).To(Equal(hosting.OutcomeUnknown))
		})
	}
}
