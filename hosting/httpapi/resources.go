package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/rotisserie/eris"
)

// Servers returns a view of the client that orders and lists backend servers.
func (c *Client) Servers() hosting.Servers { return serversClient{c} }

// VMs returns a view of the client that lists the VMs.
func (c *Client) VMs() hosting.VMs { return vmsClient{c} }

type serversClient struct{ client *Client }

// Order implements hosting.Servers.
func (s serversClient) Order(ctx context.Context, failureDomain string, order hosting.ServerOrder) (hosting.Outcome, error) {
	return s.client.put(ctx, "/orders/"+url.PathEscape(failureDomain), order)
}

// List implements hosting.Servers.
func (s serversClient) List(ctx context.Context) ([]hosting.Server, error) {
	var servers []hosting.Server
	err := s.client.query(ctx, call{method: http.MethodGet, path: "/servers"}, &servers)
	return servers, err
}

// Report implements hosting.Usage.
func (c *Client) Report(ctx context.Context, report hosting.UsageReport) (hosting.Outcome, error) {
	if report.Check != nil {
		if err := report.Check(); err != nil {
			return hosting.OutcomeRefused, err
		}
	}
	return c.put(ctx, "/usage/"+strconv.FormatInt(report.Window, 10), report)
}

type vmsClient struct{ client *Client }

// List implements hosting.VMs.
func (v vmsClient) List(ctx context.Context) ([]hosting.VM, error) {
	var vms []hosting.VM
	err := v.client.query(ctx, call{method: http.MethodGet, path: "/vms"}, &vms)
	return vms, err
}

// Weights describes the weights of one version of a model.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Weights queries the weight store for one version of a model. Above the store's
// rate limit it fails with a *StatusError with status 429.
func (c *Client) Weights(ctx context.Context, model, version string) (Weights, error) {
	path := "/weights/" + url.PathEscape(model) + "?version=" + url.QueryEscape(version)
	var weights Weights
	err := c.query(ctx, call{method: http.MethodGet, path: path}, &weights)
	return weights, err
}

// put sends a JSON body and reports by the field "accepted" of the response whether
// the platform accepted it.
func (c *Client) put(ctx context.Context, path string, body any) (hosting.Outcome, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return hosting.OutcomeRefused, eris.Wrapf(err, "encode %s", path)
	}
	var result struct {
		Accepted *bool `json:"accepted"`
	}
	call := call{method: http.MethodPut, path: path, body: data, contentType: "application/json"}
	outcome, err := c.mutate(ctx, call, &result)
	if err != nil {
		return outcome, err
	}
	if result.Accepted == nil {
		return hosting.OutcomeUnknown, eris.Errorf("PUT %s: answer does not say whether it was accepted", path)
	}
	if !*result.Accepted {
		return hosting.OutcomeRefused, eris.Errorf("PUT %s: not accepted", path)
	}
	return hosting.OutcomeDone, nil
}
