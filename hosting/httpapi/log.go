package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/rotisserie/eris"
)

// Append implements hosting.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, hosting.Outcome, error) {
	var body struct {
		Offset *int64 `json:"offset"`
	}
	call := call{
		method:      http.MethodPost,
		path:        streamPath(stream),
		body:        data,
		contentType: "application/octet-stream",
	}
	outcome, err := c.mutate(ctx, call, &body)
	if err != nil {
		return hosting.NoOffset, outcome, err
	}
	if body.Offset == nil || *body.Offset < 0 {
		return hosting.NoOffset, hosting.OutcomeUnknown, eris.Errorf("append to %s: answer has no offset", stream)
	}
	return *body.Offset, hosting.OutcomeDone, nil
}

// Read implements hosting.Log. It fails if the records of the page are not
// consecutive from the requested offset, because readers that replay such a page
// would arrive at different states.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (hosting.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	call := call{
		method:  http.MethodGet,
		path:    streamPath(stream) + "?" + query.Encode(),
		limit:   maxPageBytes,
		timeout: callTimeout + wait,
	}
	var page hosting.Page
	ans, _, err := c.do(ctx, call)
	if err != nil {
		return page, err
	}
	if ans.status == http.StatusGone {
		return page, trimmedError(stream, call, ans)
	}
	if ans.status/100 != 2 {
		return page, statusError(call, ans)
	}
	if err := decode(call, ans.body, &page); err != nil {
		return hosting.Page{}, err
	}
	if err := checkPage(page, from, limit); err != nil {
		return hosting.Page{}, eris.Wrapf(err, "read %s from %d", stream, from)
	}
	return page, nil
}

func streamPath(stream string) string {
	return "/log/" + url.PathEscape(stream)
}

func trimmedError(stream string, call call, ans answer) error {
	var body errorAnswer
	if err := json.Unmarshal(ans.body, &body); err != nil || body.First == nil {
		return statusError(call, ans)
	}
	return &hosting.TrimmedError{Stream: stream, First: *body.First}
}

func checkPage(page hosting.Page, from int64, limit int) error {
	if page.First < 0 || page.Next < page.First {
		return eris.Errorf("malformed page: first %d, next %d", page.First, page.Next)
	}
	if len(page.Records) > limit {
		return eris.Errorf("malformed page: %d records, limit %d", len(page.Records), limit)
	}
	for i, record := range page.Records {
		if record.Offset != from+int64(i) {
			return eris.Errorf("malformed page: record %d has offset %d", i, record.Offset)
		}
		if record.Offset >= page.Next {
			return errors.New("malformed page: record offset is not below the next offset")
		}
	}
	return nil
}
