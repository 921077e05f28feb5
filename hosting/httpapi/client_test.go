package httpapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// cannedTransport answers every request with the same status and body.
type cannedTransport struct {
	status int
	body   []byte
}

func (c cannedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status,
		Header:     http.Header{},
		Body:       io.NopCloser(bytes.NewReader(c.body)),
	}, nil
}

// brokenTransport fails without reporting whether it sent the request.
type brokenTransport struct{}

func (brokenTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("broken")
}

// Guards against an append that is reported as refused although the transport,
// which does not report its connections, may have sent it.
func TestFailureOfAnUntracedTransportIsUnknown(t *testing.T) {
	client := New("http://platform", &http.Client{Transport: brokenTransport{}})
	_, outcome, err := client.Append(context.Background(), "a", nil)
	if outcome != hosting.OutcomeUnknown || err == nil {
		t.Fatalf("outcome %s, error %v", outcome, err)
	}
}

// FuzzAnswers guards against responses that make the client panic, accept a page
// with gaps, or report success without an offset.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"first":0,"next":4,"records":[{"offset":3,"data":"eA=="}]}`))
	f.Add(200, []byte(`{"offset":3,"accepted":true}`))
	f.Add(410, []byte(`{"error":"trimmed","first":9}`))
	f.Add(409, []byte(`{"error":"stale_fence","fence":7}`))
	f.Add(200, []byte(`{"offset":null,"records":[null]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			t.Skip()
		}
		client := New("http://platform", &http.Client{Transport: cannedTransport{status, body}})
		ctx := context.Background()
		page, err := client.Read(ctx, "a", 3, 10, 0)
		for i, record := range page.Records {
			if err != nil || record.Offset != 3+int64(i) {
				t.Fatalf("page %+v with error %v", page, err)
			}
		}
		offset, outcome, err := client.Append(ctx, "a", nil)
		if (outcome == hosting.OutcomeDone) != (err == nil) || (err == nil && offset < 0) {
			t.Fatalf("append: offset %d, %s, %v", offset, outcome, err)
		}
		outcome, err = client.Servers().Order(ctx, "fd", hosting.ServerOrder{})
		if (outcome == hosting.OutcomeDone) != (err == nil) {
			t.Fatalf("order: %s, %v", outcome, err)
		}
	})
}
