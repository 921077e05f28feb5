package proof

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/standin/app"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
)

const (
	// drainLimit is the time after the notice from which a leaving server must get no
	// new requests. The daemons read the server list twice a second.
	drainLimit = 4 * time.Second
	// inFlightLimit is the time that a request that was in flight when the withdrawal
	// was observed may take to reach a backend server.
	inFlightLimit = time.Second
	// maxFailures bounds the number of violations that are reported together.
	maxFailures = 40
)

// checker checks the guarantees and collects violations. Each is reported once.
type checker struct {
	mu       sync.Mutex
	seen     map[string]bool
	failures []string
}

func newChecker() *checker { return &checker{seen: map[string]bool{}} }

// fail records a violation of a guarantee.
func (v *checker) fail(guarantee, format string, args ...any) {
	text := guarantee + ": " + fmt.Sprintf(format, args...)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen[text] || len(v.failures) >= maxFailures {
		return
	}
	v.seen[text] = true
	v.failures = append(v.failures, text)
}

// takeNew returns the violations since the last call and removes them.
func (v *checker) takeNew() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	taken := v.failures
	v.failures = nil
	return taken
}

// withdrawal is the withdrawal of a customer's key.
type withdrawal struct {
	customer string
	// inForce is the time at which the withdrawal was observed on all daemons.
	inForce time.Time
}

// sentOrder is an order to an engine or to the platform as its receiver recorded it.
type sentOrder struct {
	domain, target, sender, id string
	command                    string
	fence, highest             int64
	effective                  bool
	// dropped is the number of requests that the order aborted.
	dropped int
}

// observations holds the records of the stand-ins and of the clients.
type observations struct {
	engines    []engineRecord
	runs       []app.Run
	platform   fake.Audit
	leaseTerms []leaseTerm
	calls      []*call
	// pending holds the markers of work of which an attempt may be missing in calls.
	pending   map[string]bool
	withdrawn []withdrawal
	// ignoreLeaving holds the IDs of servers whose notice some daemon could not read.
	ignoreLeaving map[string]bool
}

// observe collects the records of the clients and of all stand-ins.
func (b *testbed) observe(t *traffic) *observations {
	// The calls are read first, so that the audits contain all runs of these calls.
	e := &observations{}
	e.calls, e.pending = t.all()
	e.platform = b.platformAudit()
	b.mu.Lock()
	e.engines = append(e.engines, b.endedEngines...)
	var running []*engineServer
	for _, s := range b.engines {
		running = append(running, s)
	}
	b.mu.Unlock()
	for _, s := range running {
		e.engines = append(e.engines, b.engineAudit(s))
	}
	e.engines = append(e.engines, b.platformEngines(e.platform.Servers)...)
	for _, a := range b.apps {
		var audit struct{ Runs []app.Run }
		must(b.t, b.get(a.url+"/audit", &audit))
		e.runs = append(e.runs, audit.Runs...)
	}
	e.leaseTerms = b.leaseTerms()
	return e
}

// check checks all guarantees against the observations.
func (v *checker) check(e *observations) {
	v.checkOrders(e)
	v.checkServiceRuns(e)
	v.checkModelRuns(e)
	v.checkAnswers(e)
	v.checkWithdrawals(e)
	v.checkLeaving(e)
	v.checkReports(e)
}

// orders returns the orders that engines and the platform received.
func (e *observations) orders() []sentOrder {
	var list []sentOrder
	for _, record := range e.engines {
		for _, o := range record.audit.Orders {
			list = append(list, sentOrder{
				domain: record.server.FailureDomain, target: record.server.ID, sender: o.Order.Sender, id: o.Order.ID,
				fence: o.Order.Fence, highest: o.Highest, dropped: o.Aborted,
				command:   fmt.Sprintf("%+v at %d", o.Order, o.AtMs),
				effective: o.Result != backend.ErrorStaleFence && !o.Repeated,
			})
		}
	}
	for _, o := range e.platform.Orders {
		list = append(list, sentOrder{
			domain: o.FailureDomain, target: "platform/" + o.FailureDomain, sender: o.Order.Sender, id: o.Order.ID,
			fence: o.Order.Fence, highest: o.Highest, effective: o.Result == fake.ResultAccepted,
		})
	}
	return list
}

// checkOrders checks P1, P2, P3 and P5: orders interrupt no request, no order takes
// effect after one of a higher term, and all orders of a term come from the holder
// that the log records.
func (v *checker) checkOrders(e *observations) {
	holders := map[string]string{}
	for _, t := range e.leaseTerms {
		holders[fmt.Sprintf("%s/%d", t.domain, t.term)] = t.holder
	}
	type term struct {
		target string
		fence  int64
	}
	senders := map[term]string{}
	for _, o := range e.orders() {
		if o.dropped > 0 {
			v.fail("P2", "%s interrupted %d requests for order %s (%s) of %s", o.target, o.dropped, o.id, o.command, o.sender)
		}
		if o.effective && o.fence < o.highest {
			v.fail("P3", "%s executed order %s of term %d by %s after term %d", o.target, o.id, o.fence, o.sender, o.highest)
		}
		key := term{o.target, o.fence}
		if other, ok := senders[key]; ok && other != o.sender {
			v.fail("P1/P5", "%s got orders of term %d from %s and %s", o.target, o.fence, other, o.sender)
		}
		senders[key] = o.sender
		if holder := holders[fmt.Sprintf("%s/%d", o.domain, o.fence)]; holder != o.sender {
			v.fail("P1/P5", "%s got order %s of term %d from %s; the holder in the log is %q", o.target, o.id, o.fence, o.sender, holder)
		}
	}
}

// checkServiceRuns checks P4, P7, P8 and P9 at the plain services.
func (v *checker) checkServiceRuns(e *observations) {
	runs := map[string][]app.Run{}
	byMarker := map[string][]*call{}
	for _, c := range e.calls {
		byMarker[c.marker] = append(byMarker[c.marker], c)
	}
	for _, r := range e.runs {
		marker := markerOf(r)
		runs[marker] = append(runs[marker], r)
		if len(r.Leaked) > 0 {
			v.fail("P4", "service received headers %v with %s", r.Leaked, marker)
		}
		for _, c := range byMarker[marker] {
			if c.customer != r.Customer {
				v.fail("P4", "%s of customer %q ran for customer %q", marker, c.customer, r.Customer)
			}
		}
	}
	for marker, calls := range byMarker {
		if k := calls[0].kind; k == kindStamp || k == kindKeyed {
			v.checkAtMostOnce(marker, calls, runs[marker], e.pending[marker])
		} else if calls[0].outcome == outcomeRefused && calls[0].run == "not_run" && len(runs[marker]) > 0 {
			v.fail("P8", "%s was refused with not_run (%s) but ran", describe(calls[0]), calls[0].code)
		}
	}
}

func markerOf(r app.Run) string {
	if r.Method == "GET" {
		return strings.TrimPrefix(r.Path, "/status/") + ";"
	}
	_, rest, _ := strings.Cut(r.Body, `"mark":"`)
	marker, _, _ := strings.Cut(rest, `"`)
	return marker
}

// checkAtMostOnce checks that non-idempotent work ran at most once (P9), that its
// answers are those of the run (P7) and that it did not run if all attempts were
// refused with not_run (P8).
func (v *checker) checkAtMostOnce(marker string, calls []*call, runs []app.Run, pending bool) {
	if len(runs) > 1 {
		v.fail("P9", "%s ran %d times", describe(calls[0]), len(runs))
	}
	notRun, whole := 0, 0
	for _, c := range calls {
		switch {
		case c.outcome == outcomeNotSent || (c.outcome == outcomeRefused && c.run == "not_run"):
			notRun++
		case c.outcome == outcomeComplete:
			whole++
			if len(runs) == 0 || c.stamp != runs[0].Stamp {
				v.fail("P7", "%s received stamp %d; recorded runs: %v", describe(c), c.stamp, runs)
			}
		}
	}
	if !pending && notRun == len(calls) && len(runs) > 0 {
		v.fail("P8", "%s was refused with not_run (%s) but ran", describe(calls[0]), calls[0].code)
	}
	if whole > 0 && len(runs) == 0 {
		v.fail("P7", "%s got an answer without a run", marker)
	}
}

func describe(c *call) string {
	return fmt.Sprintf("%s %s of %s via %s in round %d", c.kind, c.marker, c.customer, c.vm, c.round)
}

// checkModelRuns checks P4 and P8 at the engines.
func (v *checker) checkModelRuns(e *observations) {
	byMarker := map[string]*call{}
	for _, c := range e.calls {
		if c.kind == kindStream || c.kind == kindUnstreamed {
			byMarker[c.marker] = c
		}
	}
	for _, record := range e.engines {
		for _, r := range record.audit.Requests {
			if len(r.Leaked) > 0 {
				v.fail("P4", "engine received headers %v with %s", r.Leaked, r.RequestID)
			}
			c := byMarker[promptMarker(r.Prompt)]
			if c == nil {
				continue
			}
			if c.customer != r.Customer {
				v.fail("P4", "%s ran for customer %q", describe(c), r.Customer)
			}
			if c.run == "not_run" && c.outcome == outcomeRefused && r.Tokens > 0 {
				v.fail("P8", "%s was refused with not_run (%s), but %s generated %d tokens", describe(c), c.code, record.server.ID, r.Tokens)
			}
		}
	}
}

func promptMarker(prompt string) string {
	marker, _, found := strings.Cut(strings.TrimPrefix(prompt, "user:"), ";")
	if !found {
		return ""
	}
	return marker + ";"
}

// checkAnswers checks P2, P7 and P11: no answer is wrong, and no call breaks without
// a fault.
func (v *checker) checkAnswers(e *observations) {
	for _, c := range e.calls {
		if c.outcome == outcomeWrong {
			v.fail("P7", "%s: %s", describe(c), c.detail)
		}
		if c.outcome == outcomeBroken && !c.duringFault && c.code != "key_withdrawn" {
			v.fail("P2/P11", "%s failed without a fault: %s %s", describe(c), c.code, c.detail)
		}
	}
}

// checkWithdrawals checks P4: nothing runs for a withdrawn key after all daemons have
// applied the withdrawal.
func (v *checker) checkWithdrawals(e *observations) {
	for _, w := range e.withdrawn {
		for _, c := range e.calls {
			if c.customer == w.customer && c.outcome == outcomeComplete && c.begin.After(w.inForce) {
				v.fail("P4", "%s was answered %s after the withdrawal was in force", describe(c), c.begin.Sub(w.inForce))
			}
		}
		limit := w.inForce.Add(inFlightLimit).UnixMilli()
		for _, r := range e.runs {
			if r.Customer == w.customer && r.AtMs > limit {
				v.fail("P4", "a service ran %s for customer %s after the withdrawal of its key", r.Path, w.customer)
			}
		}
		for _, record := range e.engines {
			for _, r := range record.audit.Requests {
				if r.Customer == w.customer && r.AtMs > limit {
					v.fail("P4", "engine %s ran %s for customer %s after the withdrawal of its key", record.server.ID, r.RequestID, w.customer)
				}
			}
		}
	}
}

// checkLeaving checks P10: an engine gets no request later than drainLimit after its
// eviction notice.
func (v *checker) checkLeaving(e *observations) {
	for _, record := range e.engines {
		if record.leaving == 0 || e.ignoreLeaving[record.server.ID] || record.server.State == hosting.ServerStarting {
			continue
		}
		for _, r := range record.audit.Requests {
			if late := r.AtMs - record.leaving; late > drainLimit.Milliseconds() {
				v.fail("P10", "%s got request %s %d ms after its notice", record.server.ID, r.RequestID, late)
			}
		}
	}
}

// checkReports checks P6: a usage window is not reported with different figures.
func (v *checker) checkReports(e *observations) {
	figures := map[int64]string{}
	for _, r := range e.platform.Reports {
		text := fmt.Sprintf("%+v", r.Report.Figures)
		if earlier, ok := figures[r.Report.Window]; ok && earlier != text {
			v.fail("P6", "window %d was reported with %s and %s", r.Report.Window, earlier, text)
		}
		figures[r.Report.Window] = text
	}
}
