package backend_test

import (
	"bytes"
	"context"
	"fmt"
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

// Guards against a part of an answer that looks complete because the connection broke while
// the request was written.
func TestServiceAnswerThatIsCutDuringTheUploadIsNotComplete(t *testing.T) {
	ends := map[string]func(conn rawserver.Conn, r *http.Request){
		"reset": func(conn rawserver.Conn, _ *http.Request) { conn.Reset() },
		"close": func(rawserver.Conn, *http.Request) {},
		"close after a part": func(_ rawserver.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/4)
		},
	}
	for name, end := range ends {
		for _, size := range []int{64 << 10, 1 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%s %d KB", name, size>>10), func(t *testing.T) {
				addr := rawserver.Start(t, func(conn rawserver.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					end(conn, r)
				})
				services := backend.NewServices(nil)
				for range 6 {
					resp, failed := services.Do(context.Background(), "http://"+addr, backend.ServiceRequest{
						ID: "r", Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), size),
					})
					if failed != nil {
						continue
					}
					body, err := io.ReadAll(resp.Body)
					resp.Close()
					if err == nil {
						t.Fatalf("%q is taken for complete", body)
					}
				}
			})
		}
	}
}
