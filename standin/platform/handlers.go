package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/mimosakeel/mimosakeel/hosting"
)

// malformed is the answer to a request that can't be parsed.
var malformed = reply{http.StatusBadRequest, errorBody{Error: "malformed"}}

func (p *Platform) postLog(r *http.Request) reply {
	name := mux.Vars(r)["stream"]
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return malformed
	}
	if !p.appendLimiter.Allow() {
		p.audit.add(func(a *Audit) { a.AppendsRefused++ })
		return reply{http.StatusTooManyRequests, errorBody{Error: "append_rate"}}
	}
	if f, hit := p.faults.Take(FaultAppendLate, name); hit {
		time.AfterFunc(f.Delay(), func() { p.store(name, data) })
		return reply{http.StatusServiceUnavailable, errorBody{Error: "append_late"}}
	}
	offset := p.store(name, data)
	if _, hit := p.faults.Take(FaultAppendTwice, name); hit {
		p.store(name, data)
	}
	return reply{http.StatusOK, map[string]int64{"offset": offset}}
}

// store appends a record to the log and counts it in the audit.
func (p *Platform) store(name string, data []byte) int64 {
	offset := p.log.append(name, data, time.Now())
	p.audit.add(func(a *Audit) { a.Appends[name]++ })
	return offset
}

func (p *Platform) getLog(r *http.Request) reply {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, errMax := strconv.Atoi(query.Get("max"))
	waitMs, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errFrom != nil || from < 0 || errMax != nil || limit < 0 || errWait != nil {
		return malformed
	}
	delay := min(time.Duration(waitMs)*time.Millisecond, maxReadWait)
	page := p.log.read(r.Context(), mux.Vars(r)["stream"], from, min(limit, maxReadCount), delay)
	if from < page.First {
		return reply{http.StatusGone, errorBody{Error: "trimmed", First: &page.First}}
	}
	return reply{http.StatusOK, page}
}

func (p *Platform) putOrder(r *http.Request) reply {
	failureDomain := mux.Vars(r)["fd"]
	var order hosting.ServerOrder
	if !decode(r, &order) || order.ID == "" || order.OnDemand < 0 || order.Cheap < 0 {
		return malformed
	}
	_, ignore := p.faults.Take(FaultIgnoreFence, "orders")
	entry := OrderEntry{AtMs: time.Now().UnixMilli(), FailureDomain: failureDomain, Order: order}
	if len(p.config.FailureDomains) > 0 && !slices.Contains(p.config.FailureDomains, failureDomain) {
		entry.Result = ResultUnknownFD
	} else {
		content := order
		content.Fence, content.Sender = 0, ""
		key := failureDomain + "/" + order.ID
		entry.Result, entry.Highest = p.orderFences.admit(failureDomain, key, content, order.Fence, ignore || p.config.OrdersIgnoreFence)
	}
	if entry.Result == ResultAccepted {
		if _, hit := p.faults.Take(FaultNoEffect, "orders"); hit {
			entry.Result = ResultNoEffect
		} else {
			p.SetServerCounts(failureDomain, order.OnDemand, order.Cheap)
		}
	}
	p.audit.add(func(a *Audit) { a.Orders = append(a.Orders, entry) })
	return resultReply(entry.Result, entry.Highest)
}

func (p *Platform) putUsage(r *http.Request) reply {
	window, err := strconv.ParseInt(mux.Vars(r)["window"], 10, 64)
	var report hosting.UsageReport
	if !decode(r, &report) || err != nil || report.Window != window {
		return malformed
	}
	_, ignore := p.faults.Take(FaultIgnoreFence, "usage")
	entry := ReportEntry{AtMs: time.Now().UnixMilli(), Report: report}
	if _, hit := p.faults.Take(FaultNoEffect, "usage"); hit {
		entry.Result = ResultNoEffect
	} else {
		// The window is the idempotency key: a second report with other figures is
		// a conflict, regardless of its sender.
		key := strconv.FormatInt(window, 10)
		entry.Result, entry.Highest = p.usageFences.admit("", key, report.Figures, report.Fence, ignore || p.config.UsageIgnoresFence)
	}
	p.audit.add(func(a *Audit) { a.Reports = append(a.Reports, entry) })
	return resultReply(entry.Result, entry.Highest)
}

// resultReply returns the answer to an order or report with the given result.
func resultReply(result string, highest int64) reply {
	switch result {
	case ResultStale:
		return reply{http.StatusConflict, errorBody{Error: result, Fence: &highest}}
	case ResultConflict:
		return reply{http.StatusConflict, errorBody{Error: result}}
	case ResultUnknownFD:
		return reply{http.StatusNotFound, errorBody{Error: result}}
	default:
		return reply{http.StatusOK, map[string]bool{"accepted": true}}
	}
}

func (p *Platform) getServers(*http.Request) reply {
	return reply{http.StatusOK, p.servers.list()}
}

func (p *Platform) getVMs(*http.Request) reply {
	return reply{http.StatusOK, p.vms.list()}
}

func (p *Platform) getWeights(r *http.Request) reply {
	model := mux.Vars(r)["model"]
	if !p.weightLimiter.Allow() {
		p.audit.add(func(a *Audit) { a.WeightLoadsRefused++ })
		return reply{http.StatusTooManyRequests, errorBody{Error: "weight_rate"}}
	}
	p.audit.add(func(a *Audit) { a.WeightLoads[model]++ })
	body := struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Bytes   int64  `json:"bytes"`
	}{model, r.URL.Query().Get("version"), 16 << 30}
	return reply{http.StatusOK, body}
}

func (p *Platform) getAudit(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, reply{http.StatusOK, p.Audit()})
}

func (p *Platform) getHistory(w http.ResponseWriter, r *http.Request) {
	writeReply(w, reply{http.StatusOK, p.History(mux.Vars(r)["stream"])})
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	var vms []hosting.VM
	if !decode(r, &vms) {
		writeReply(w, malformed)
		return
	}
	p.vms.set(vms)
	writeReply(w, reply{http.StatusOK, vms})
}

func (p *Platform) controlPutServer(w http.ResponseWriter, r *http.Request) {
	var server hosting.Server
	if !decode(r, &server) || server.ID == "" {
		writeReply(w, malformed)
		return
	}
	p.servers.put(server)
	writeReply(w, reply{http.StatusOK, server})
}

func (p *Platform) controlRemoveServer(w http.ResponseWriter, r *http.Request) {
	if !p.servers.removeByID(mux.Vars(r)["id"]) {
		writeReply(w, reply{http.StatusNotFound, errorBody{Error: "unknown_server"}})
		return
	}
	writeReply(w, reply{http.StatusOK, struct{}{}})
}

func decode(r *http.Request, into any) bool {
	return json.NewDecoder(r.Body).Decode(into) == nil
}
