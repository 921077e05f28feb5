package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/daemon"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/standin/engine"
	"github.com/mimosakeel/mimosakeel/standin/fault"
	fake "github.com/mimosakeel/mimosakeel/standin/platform"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// statusInterval is the polling interval of monitor.
	statusInterval = 50 * time.Millisecond
	statusTimeout  = 400 * time.Millisecond
)

// control calls a control route of the platform stand-in.
func (b *testbed) control(method, path string, body any) error {
	return b.send(method, b.platformURL+path, body)
}

func (b *testbed) send(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := b.http.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	return nil
}

// inject makes the stand-in at a URL show a fault.
func (b *testbed) inject(url string, f fault.Fault) {
	must(b.t, b.send(http.MethodPost, url+"/faults", f))
}

func (b *testbed) get(url string, into any) error {
	response, err := b.http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

func (b *testbed) platformAudit() fake.Audit {
	var audit fake.Audit
	must(b.t, b.get(b.platformURL+"/audit", &audit))
	return audit
}

// history returns all records of a stream, including trimmed ones, with the times
// at which they were appended.
func (b *testbed) history(stream string) []fake.HistoryRecord {
	var records []fake.HistoryRecord
	must(b.t, b.get(b.platformURL+"/audit/log/"+stream, &records))
	return records
}

// replay applies all records of a stream to new states and calls decided for each
// decision.
func (b *testbed) replay(name string, newState func(string) record.State, decided func(fake.HistoryRecord, record.Decision)) *record.Stream {
	stream := record.NewStream(0, newState)
	for _, r := range b.history(name) {
		page := hosting.Page{Next: r.Offset + 1, Records: []hosting.Record{r.Record}}
		decisions, err := stream.Apply(page)
		must(b.t, err)
		for _, d := range decisions {
			decided(r, d)
		}
	}
	return stream
}

// leaseTerm is an accepted term of the lease of a failure domain.
type leaseTerm struct {
	domain, holder, vm string
	term               int64
	// atMs is the time at which the claim was appended, in milliseconds since the Unix
	// epoch.
	atMs     int64
	released bool
}

// leaseTerms returns all accepted lease terms in log order.
func (b *testbed) leaseTerms() []leaseTerm {
	states := map[string]*order.State{}
	var list []leaseTerm
	last := map[string]int{}
	b.replay("control", func(subject string) record.State {
		states[subject] = order.NewState()
		return states[subject]
	}, func(r fake.HistoryRecord, d record.Decision) {
		s := states[d.Entry.Subject]
		if s == nil {
			return
		}
		subject, current := d.Entry.Subject, s.Lease.Current
		if i, ok := last[subject]; ok && list[i].term == current.Term {
			list[i].released = s.Lease.Released
			return
		}
		if current.Term == record.NoOffset {
			return
		}
		last[subject] = len(list)
		list = append(list, leaseTerm{domain: subject[len("orders/"):], holder: current.Holder, vm: current.VM, term: current.Term, atMs: r.AtMs})
	})
	return list
}

// publish publishes an edit of the configuration table as an operator does. It
// returns the new version and the time at which it was appended to the log.
func (b *testbed) publish(edit table.Edit, author, id string) (version int64, at time.Time, err error) {
	var publisher *table.Publisher
	deadline := time.Now().Add(controlTimeout)
	for time.Now().Before(deadline) {
		state := table.NewState()
		stream := b.replay(table.Stream, func(string) record.State { return state }, func(r fake.HistoryRecord, d record.Decision) {
			if publisher != nil {
				publisher.Observe(d)
			}
			if d.Verdict == record.Accepted {
				at = time.UnixMilli(r.AtMs)
			}
		})
		if publisher == nil {
			p, err := table.NewPublisher(stream.Chain(table.Subject), state, edit, state.Version(), author, id, false)
			if err != nil {
				return 0, at, err
			}
			publisher = p
		}
		switch publisher.Result() {
		case table.Published:
			return publisher.Version(), at, nil
		case table.Lost, table.Refused:
			return 0, at, fmt.Errorf("edit %s was %s", id, publisher.Result())
		}
		e, _ := publisher.Next()
		// If the answer is lost, the next replay shows whether the entry was appended.
		_, _, _ = b.log.Append(b.t.Context(), table.Stream, record.Encode(e))
	}
	return 0, at, fmt.Errorf("edit %s was not decided", id)
}

// status returns the status of a daemon.
func (b *testbed) status(m *member) (daemon.Status, error) {
	var s daemon.Status
	client := http.Client{Timeout: statusTimeout, Transport: b.http.Transport}
	response, err := client.Get(m.url() + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", response.StatusCode)
	}
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// monitor polls a daemon's readiness and status until the test ends. A configuration
// version that decreases within one incarnation violates P12.
func (b *testbed) monitor(m *member, v *checker) {
	client := http.Client{Timeout: statusTimeout, Transport: b.http.Transport}
	for b.t.Context().Err() == nil {
		ready := false
		if response, err := client.Get(m.url() + "/readyz"); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		s, err := b.status(m)
		m.mu.Lock()
		m.ready = ready
		if err == nil && s.Incarnation == m.incarnation && s.ConfigVersion < m.version {
			v.fail("P12", "%s went back from version %d to %d", s.Incarnation, m.version, s.ConfigVersion)
		}
		if err == nil {
			m.incarnation, m.version = s.Incarnation, s.ConfigVersion
		}
		m.mu.Unlock()
		time.Sleep(statusInterval)
	}
}

// awaitInForce waits until each running daemon has applied the version or does not
// serve requests that need a customer's key. It returns the time since begin; ok is
// false if the limit has passed.
func (b *testbed) awaitInForce(version int64, begin time.Time, limit time.Duration) (took time.Duration, ok bool) {
	for time.Since(begin) < limit {
		missing := 0
		for _, m := range b.daemons {
			if !m.up() {
				continue
			}
			s, err := b.status(m)
			if err != nil || (s.ConfigVersion < version && s.ServesKeyed) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(begin), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit, false
}

// platformEngines returns the audits of the engines that the platform started in
// response to orders.
func (b *testbed) platformEngines(changes []fake.ServerEntry) []engineRecord {
	var audits map[string]engine.Audit
	must(b.t, b.get(b.platformURL+"/audit/engines", &audits))
	records := map[string]*engineRecord{}
	for _, c := range changes {
		audit, ordered := audits[c.Server.ID]
		if !ordered {
			continue
		}
		record := records[c.Server.ID]
		if record == nil {
			record = &engineRecord{audit: audit}
			records[c.Server.ID] = record
		}
		record.server = c.Server
		if c.Server.State == hosting.ServerLeaving && record.leaving == 0 {
			record.leaving = c.AtMs
		}
	}
	var list []engineRecord
	for _, record := range records {
		list = append(list, *record)
	}
	return list
}
