package edge

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/quarantine"
	"github.com/mimosakeel/mimosakeel/registry"
)

const (
	// crashCheckDelay is the time for which the broken connections of one server are
	// collected before it is checked whether the server has ended.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckMemory is the time for which the result of a check is used.
	crashCheckMemory = 2 * time.Second
	// inquiryWait is the longest time for which the daemon that collects crash reports
	// waits for what the others have served.
	inquiryWait = 250 * time.Millisecond
	// evaluationInterval is the minimum time between two evaluations of the reports.
	evaluationInterval = 30 * time.Millisecond
	// crashCollectors is the number of daemons that collect crash reports.
	crashCollectors = 2
	// maxInquired bounds the daemons that a collector asks and tells directly. The
	// others learn a quarantine from the store and by gossip.
	maxInquired = 32
	// maxSentReports bounds the reports that a daemon keeps for new collectors.
	maxSentReports = 64
	// flowingAfter is the time since its first event after which an answer is well
	// under way. An engine that crashes on a part ends soon after its first token.
	flowingAfter = 250 * time.Millisecond
	// maxPartBytes is the length up to which the ID of a part is used as it is.
	maxPartBytes = 64
	// quarantineRetry is the pause after a failed write of a quarantine.
	quarantineRetry = 500 * time.Millisecond
)

var crashReports = metrics.NewCounter("mimosakeel_edge_crash_reports_total")

// requestPrefix begins the keys of whole requests; partKey uses it for no part.
const requestPrefix = "request:"

// requestKey identifies a whole request by its fingerprint.
func requestKey(fingerprint string) string { return requestPrefix + fingerprint }

// partKey identifies a part of a prompt, whatever the rest of the prompt holds.
func partKey(id string) string {
	if len(id) <= maxPartBytes && !strings.HasPrefix(id, requestPrefix) {
		return id
	}
	return "#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// contentGuard implements dispatch.Quarantine for the requests of this daemon. It
// is safe for concurrent use.
type contentGuard struct {
	served *quarantine.Served
	// servedRequests is apart from served, because nearly every request adds an entry.
	servedRequests *quarantine.Served
	list           atomic.Pointer[quarantine.List]
	// wallNow returns the time that all daemons agree on.
	wallNow func() time.Time
	dial    backend.DialFunc
	// report delivers a crash report to the daemons that collect them.
	report func(m *CrashReport)

	mu sync.Mutex
	// checks holds the servers that are being checked, or were recently, by run.
	checks map[string]*crashCheck
}

// crashCheck is the check whether a server has ended. suspects are not yet reported.
type crashCheck struct {
	suspects []quarantine.Suspect
	done     bool
	crashed  bool
}

func newContentGuard(wallNow func() time.Time) *contentGuard {
	return &contentGuard{served: quarantine.NewServed(), servedRequests: quarantine.NewServed(), wallNow: wallNow, checks: map[string]*crashCheck{}}
}

// Left implements dispatch.Quarantine.
func (q *contentGuard) Left(c dispatch.Content) (time.Duration, string) {
	list := q.list.Load()
	if list.Len() == 0 {
		return 0, ""
	}
	now := q.wallNow()
	for _, part := range c.Parts {
		if left := list.Left(now, partKey(part.ID)); left > 0 {
			return left, "part " + part.ID
		}
	}
	return list.Left(now, requestKey(c.Fingerprint)), "content " + c.Fingerprint
}

// Served implements dispatch.Quarantine.
func (q *contentGuard) Served(c dispatch.Content) {
	now := time.Now()
	for _, part := range c.Parts {
		q.served.Add(now, partKey(part.ID))
	}
	q.servedRequests.Add(now, requestKey(c.Fingerprint))
}

// lastServed returns when a part or a whole request was last served here, or the zero
// time if that isn't known.
func (q *contentGuard) lastServed(now time.Time, key string) time.Time {
	if strings.HasPrefix(key, requestPrefix) {
		return q.servedRequests.Last(now, key)
	}
	return q.served.Last(now, key)
}

// Lost implements dispatch.Quarantine. A broken connection alone does not show that
// the server has ended: it is reported if the server refuses new connections too.
//
// A prefill is not a run of the request, so that its loss accuses the request as little
// as that of an answer under way. The parts of the prompt may well be the cause.
func (q *contentGuard) Lost(server *registry.Server, c dispatch.Content, p dispatch.Progress) {
	if server.Draining {
		return
	}
	flowing := p.Flowed >= flowingAfter
	var suspects []quarantine.Suspect
	for depth, part := range c.Parts {
		suspects = append(suspects, quarantine.Suspect{Part: partKey(part.ID), Depth: depth, Flowing: flowing})
	}
	suspects = append(suspects, quarantine.Suspect{Part: requestKey(c.Fingerprint), Depth: len(c.Parts), Flowing: flowing || p.Prefill, Request: true})
	run := server.ID + "/" + formatInt(server.StartedMs)
	if q.lost(server.Addr, run, suspects) {
		q.report(&CrashReport{Server: run, Suspects: suspects})
	}
}

// lost starts the check of a server, or adds suspects to one in progress. It reports
// whether the server is known to have ended.
func (q *contentGuard) lost(addr, run string, suspects []quarantine.Suspect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	check := q.checks[run]
	switch {
	case check == nil:
		q.checks[run] = &crashCheck{suspects: suspects}
		go q.check(addr, run)
		return false
	case !check.done:
		check.suspects = append(check.suspects, suspects...)
		return false
	}
	return check.crashed
}

// check reports the requests of a server that refuses connections.
func (q *contentGuard) check(addr, run string) {
	time.Sleep(crashCheckDelay)
	conn, err := q.dial(context.Background(), "tcp", addr)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	q.mu.Lock()
	c := q.checks[run]
	suspects := c.suspects
	c.done, c.crashed, c.suspects = true, errors.Is(err, syscall.ECONNREFUSED), nil
	q.mu.Unlock()
	if c.crashed {
		q.report(&CrashReport{Server: run, Suspects: mergeSuspects(suspects)})
	}
	time.AfterFunc(crashCheckMemory, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.checks, run)
	})
}

// mergeSuspects returns each part once. It is flowing only if the answers to all
// requests with it were.
func mergeSuspects(all []quarantine.Suspect) []quarantine.Suspect {
	index := map[string]int{}
	var out []quarantine.Suspect
	for _, s := range all {
		i, ok := index[s.Part]
		if !ok {
			index[s.Part] = len(out)
			out = append(out, s)
			continue
		}
		out[i].Depth = max(out[i].Depth, s.Depth)
		out[i].Flowing = out[i].Flowing && s.Flowing
	}
	return out
}

// quarantineControl collects crash reports, decides which parts are quarantined, and
// puts decisions into force. Only the control goroutine uses it.
type quarantineControl struct {
	*control
	settings QuarantineSettings
	guard    *contentGuard
	detector *quarantine.Detector
	// unevaluated is set if there are reports since evaluated.
	unevaluated bool
	evaluated   time.Time
	// verdictAt is the latest time of the next decision; zero if none is due.
	verdictAt time.Time
	// asked holds the parts of the inquiry, and unanswered the VMs that have not
	// answered it.
	asked      []string
	unanswered map[string]bool
	// sent holds the reports of this daemon, oldest first, and informed the processes
	// that have got them.
	sent     []sentReport
	informed map[string]bool
	// put writes a record to the store in the background until that succeeds.
	put func(record hosting.KeyedRecord)
}

type sentReport struct {
	at     time.Time
	report *CrashReport
}

func newQuarantineControl(c *control, s QuarantineSettings, guard *contentGuard) *quarantineControl {
	return &quarantineControl{control: c, settings: s, guard: guard, detector: quarantine.NewDetector(s.Crashes, s.RequestCrashes), put: func(hosting.KeyedRecord) {}}
}

// collectors returns the VMs of the daemons that collect crash reports.
func (q *quarantineControl) collectors() []string {
	return q.highCapacity.Ranks("crashes", crashCollectors)
}

// inquired returns the VMs of the daemons that a collector asks and tells directly.
func (q *quarantineControl) inquired() []string { return q.live.Ranks("crashes", maxInquired) }

// report sends a crash report to the collectors.
func (q *quarantineControl) report(now time.Time, m *CrashReport) {
	parts := make([]string, 0, len(m.Suspects))
	for _, s := range m.Suspects {
		parts = append(parts, s.Part)
	}
	q.recordFault("server_crashed", m.Server, event.F("parts", strings.Join(parts, ",")))
	q.informCollectors(now)
	for _, vm := range q.collectors() {
		q.send(vm, m)
	}
	if len(q.sent) == maxSentReports {
		q.sent = slices.Delete(q.sent, 0, 1)
	}
	q.sent = append(q.sent, sentReport{at: now, report: m})
}

// informCollectors sends the earlier reports of this daemon to collectors that have
// taken over from others or were restarted.
func (q *quarantineControl) informCollectors(now time.Time) {
	informed := map[string]bool{}
	for _, vm := range q.collectors() {
		process := q.memberTable.load()[vm].Incarnation
		informed[process] = true
		if q.informed[process] {
			continue
		}
		for _, s := range q.sent {
			if now.Sub(s.at) > quarantine.CrashMemory {
				continue
			}
			q.send(vm, &CrashReport{Server: s.report.Server, Suspects: s.report.Suspects, Age: now.Sub(s.at)})
		}
	}
	q.informed = informed
}

// crashed records a report and asks other daemons about the parts that it accuses.
func (q *quarantineControl) crashed(now time.Time, m *CrashReport) {
	crashReports.Inc()
	q.detector.Crashed(now.Add(-max(m.Age, 0)), quarantine.Crash{Server: m.Server, Suspects: m.Suspects})
	list := q.guard.list.Load()
	for _, s := range m.Suspects {
		if list.Left(q.guard.wallNow(), s.Part) > 0 {
			q.detector.Explained(s.Part)
		}
	}
	q.unevaluated = true
	q.evaluate(now)
}

// evaluate starts an inquiry if the reports accuse a part. The loss of many servers
// brings many reports at once, so that they are evaluated together.
func (q *quarantineControl) evaluate(now time.Time) {
	if q.unevaluated && q.verdictAt.IsZero() && now.Sub(q.evaluated) >= evaluationInterval {
		q.inquire(now)
	}
}

// inquire asks other daemons about the parts that the crashes accuse.
func (q *quarantineControl) inquire(now time.Time) {
	q.unevaluated, q.evaluated = false, now
	suspected := q.detector.Suspected(now)
	if len(suspected) == 0 {
		return
	}
	q.verdictAt = now.Add(inquiryWait)
	q.asked, q.unanswered = suspected, map[string]bool{}
	for _, vm := range q.inquired() {
		q.unanswered[vm] = true
	}
	for vm := range q.unanswered {
		q.send(vm, &ServedInquiry{Parts: suspected})
	}
}

// answerInquiry tells a collector when this daemon last served parts.
func (q *quarantineControl) answerInquiry(now time.Time, from string, m *ServedInquiry) {
	out := &PartsServed{Ages: map[string]time.Duration{}}
	for _, part := range m.Parts {
		if at := q.guard.lastServed(now, part); !at.IsZero() {
			out.Ages[part] = now.Sub(at)
		}
	}
	q.send(from, out)
}

// partsServed records the answer to an inquiry. It decides once all have answered.
func (q *quarantineControl) partsServed(now time.Time, from string, m *PartsServed) {
	for part, age := range m.Ages {
		q.detector.Served(part, now.Add(-age))
	}
	delete(q.unanswered, from)
	if len(q.unanswered) == 0 && !q.verdictAt.IsZero() {
		q.decide(now)
	}
}

func (q *quarantineControl) tick(now time.Time) {
	if len(q.sent) > 0 {
		q.informCollectors(now)
	}
	if !q.verdictAt.IsZero() && !now.Before(q.verdictAt) {
		q.decide(now)
	}
	q.evaluate(now)
	if q.guard.list.Load().Len() > 0 && q.highCapacity.Owner("crashes") == q.vm {
		for _, part := range q.guard.list.Load().Outdated(q.guard.wallNow()) {
			q.remove(part)
			q.put(hosting.KeyedRecord{Key: part})
		}
	}
}

// decide quarantines the parts that explain the crashes. Another inquiry follows if
// one of them was not asked about.
func (q *quarantineControl) decide(now time.Time) {
	q.verdictAt, q.unanswered = time.Time{}, nil
	for {
		part, ok := q.detector.Culprit(now)
		if !ok {
			return
		}
		if !slices.Contains(q.asked, part) {
			q.inquire(now)
			return
		}
		q.detector.Explained(part)
		entry := quarantine.Entry{UntilMs: q.guard.wallNow().Add(q.settings.For).UnixMilli(), FoundBy: q.vm}
		q.add(part, entry)
		for _, vm := range q.inquired() {
			if vm != q.vm {
				q.send(vm, &Quarantined{Part: part, Entry: entry})
			}
		}
		q.put(hosting.KeyedRecord{Key: part, Value: entry.Encode()})
	}
}

// add puts a quarantine into force.
func (q *quarantineControl) add(part string, e quarantine.Entry) {
	next, changed := q.guard.list.Load().With(q.guard.wallNow(), part, e)
	if !changed {
		return
	}
	q.guard.list.Store(next)
	q.detector.Quarantined(part)
	q.recordFault("part_quarantined", part, event.F("until", e.Until().UTC().Format(time.RFC3339)), event.F("found_by", e.FoundBy))
}

// remove forgets a quarantine.
func (q *quarantineControl) remove(part string) {
	q.guard.list.Store(q.guard.list.Load().Without(part))
	q.detector.Forget(part)
	q.recordConfig("quarantine_removed", part)
}

// applyRecords puts records of the store into force.
func (q *quarantineControl) applyRecords(records []hosting.KeyedRecord) {
	for _, r := range records {
		if r.Value == nil {
			q.remove(r.Key)
			continue
		}
		e, err := quarantine.DecodeEntry(r.Value)
		if err != nil {
			q.recordFault("quarantine_unreadable", r.Key, event.F("error", err.Error()))
			continue
		}
		q.add(r.Key, e)
	}
}

// keepQuarantine is the replica.Keep of the quarantine topic: of two entries the one
// that ends later counts.
func keepQuarantine(record, later hosting.KeyedRecord) bool {
	if record.Value == nil {
		return false
	}
	ours, err := quarantine.DecodeEntry(record.Value)
	if err != nil || later.Value == nil {
		return err == nil
	}
	theirs, err := quarantine.DecodeEntry(later.Value)
	return err != nil || ours.UntilMs > theirs.UntilMs
}

// putQuarantine writes a record until the store has acknowledged it, so that a
// restart of all daemons does not lose it.
func (d *Daemon) putQuarantine(ctx context.Context, r hosting.KeyedRecord) {
	for failures := 0; ctx.Err() == nil; failures++ {
		_, outcome, err := d.Topics.Put(ctx, d.Source.QuarantineTopic, hosting.NoOffset, r)
		if outcome == hosting.OutcomeDone {
			return
		}
		if failures == 0 {
			d.Events.Record(event.KindFault, "quarantine_not_stored", r.Key, event.F("error", errorText(err)))
		}
		sleep(ctx, quarantineRetry)
	}
}
