package httpstrict

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against checks that break TLS, or that TLS evades.
func TestTransportChecksTLS(t *testing.T) {
	broken := false
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !broken {
			_, _ = io.Copy(w, r.Body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n")
		_ = conn.Close()
	}))
	defer server.Close()
	base := server.Client().Transport.(*http.Transport).Clone()
	base.ForceAttemptHTTP2 = false
	transport := NewTransport(base)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range 3 {
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	broken = true
	var malformed *MalformedError
	if _, err := client.Get(server.URL); !errors.As(err, &malformed) {
		t.Fatalf("error %v", err)
	}
}
