package claim

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/record"
)

// fakeLog is a log whose appends can be lost, delayed and duplicated.
type fakeLog struct {
	first   int64
	records [][]byte
	times   []time.Time
	// late holds appends that may take effect later.
	late [][]byte
}

func (s *simulation) write(data []byte) {
	s.log.records = append(s.log.records, data)
	s.log.times = append(s.log.times, s.now)
}

// retention is longer than the longest deadline.
const retention = 15 * time.Second

// daemon is one process with its machine.
type daemon struct {
	name    string
	machine *Machine
	pending *Append
	up      bool
	// running maps the granted tokens to their requests.
	running map[string]Request
}

// run is one execution of a request on a backend server.
type run struct {
	request Request
	token   string
	outcome *Outcome
	// trimmed is set when the log no longer has a record of the run's claim.
	trimmed bool
}

// simulation checks requirements P8 and P9: a refusal that says
// "not run" is true, and a request runs at most once. The check uses only the
// requests, the runs and the decisions.
type simulation struct {
	t       *rapid.T
	now     time.Time
	log     fakeLog
	daemons []*daemon
	started int
	ticket  uint64
	asked   map[string]Request
	decided map[string]State
	runs    map[Key][]*run
	// ran holds the requests that were granted, by ticket name.
	ran  map[string]bool
	dead map[string]bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Unix(1000, 0),
		asked:   map[string]Request{},
		decided: map[string]State{},
		runs:    map[Key][]*run{},
		ran:     map[string]bool{},
		dead:    map[string]bool{},
	}
	for range 3 {
		s.daemons = append(s.daemons, s.start())
	}
	return s
}

func (s *simulation) start() *daemon {
	s.started++
	d := &daemon{name: fmt.Sprintf("d%d", s.started), running: map[string]Request{}, up: true}
	d.machine = NewMachine(Config{MaxOutcomeBytes: 40}, d.name, 0, s.log.first)
	s.step(d, LogState{Up: true})
	return d
}

func (s *simulation) step(d *daemon, event Event) {
	for _, action := range d.machine.Step(s.now, event) {
		switch a := action.(type) {
		case Append:
			if d.pending != nil {
				s.t.Fatalf("%s: second append in progress", d.name)
			}
			d.pending = &a
		case Decide:
			s.decide(d, a)
		}
	}
}

func ticketName(d *daemon, ticket uint64) string { return fmt.Sprintf("%s:%d", d.name, ticket) }

func (s *simulation) decide(d *daemon, a Decide) {
	name := ticketName(d, a.Ticket)
	request, known := s.asked[name]
	if _, twice := s.decided[name]; twice || !known {
		s.t.Fatalf("%s was decided twice or was never requested", name)
	}
	s.decided[name] = a.Decision.State
	switch a.Decision.State {
	case Granted:
		s.grant(d, name, request, a.Decision.Token)
	case Replay:
		s.checkReplay(request, a.Decision.Outcome)
	}
}

// grant runs the request. It must be the only one of its key unless every
// earlier run was reported as not run or has left the log.
func (s *simulation) grant(d *daemon, name string, request Request, token string) {
	for _, earlier := range s.runs[request.Key] {
		ended := earlier.outcome != nil && earlier.outcome.NotRun
		if !ended && !earlier.trimmed {
			s.t.Fatalf("%s ran as %s while %s holds the key", name, token, earlier.token)
		}
	}
	s.ran[name] = true
	s.runs[request.Key] = append(s.runs[request.Key], &run{request: request, token: token})
	d.running[token] = request
}

// checkReplay checks that the outcome is that of a run of the same request.
func (s *simulation) checkReplay(request Request, o Outcome) {
	if o.NotRun {
		s.t.Fatalf("a release was replayed")
	}
	for _, r := range s.runs[request.Key] {
		if r.outcome == nil || r.request != request || r.outcome.Size != o.Size || r.outcome.Status != o.Status {
			continue
		}
		if o.Body == nil || bytes.Equal(o.Body, r.outcome.Body) {
			return
		}
	}
	s.t.Fatalf("outcome %+v is not that of a run of the request", o)
}

func (s *simulation) pick(label string) *daemon {
	return s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, label)]
}

// ask sends a request with one of a few keys and bodies to a daemon.
func (s *simulation) ask(*rapid.T) {
	d := s.pick("asked daemon")
	s.ticket++
	request := Request{Key: Key{Customer: "c"}}
	request.Hash[0] = byte(rapid.IntRange(0, 2).Draw(s.t, "key"))
	if rapid.IntRange(0, 5).Draw(s.t, "other body") == 0 {
		request.BodyHash[0] = 1
	}
	s.asked[ticketName(d, s.ticket)] = request
	wait := time.Duration(rapid.IntRange(1, 10).Draw(s.t, "deadline")) * time.Second
	s.step(d, Asked{Ticket: s.ticket, Request: request, Deadline: s.now.Add(wait)})
}

func (s *simulation) finish(*rapid.T) {
	if d := s.pick("finishing daemon"); len(d.running) > 0 {
		s.finishAt(d)
	}
}

func (s *simulation) finishAt(d *daemon) {
	token := slices.Min(slices.Collect(maps.Keys(d.running)))
	request := d.running[token]
	delete(d.running, token)
	o := Outcome{Status: 200, Body: []byte(token), Size: int64(len(token))}
	if rapid.IntRange(0, 3).Draw(s.t, "not run") == 0 {
		o = Outcome{NotRun: true}
	}
	for _, r := range s.runs[request.Key] {
		if r.token == token {
			r.outcome = &o
		}
	}
	s.step(d, Finished{Token: token, Outcome: o})
}

// endAppend makes the append in progress succeed or fail, or its record get lost,
// delayed or duplicated.
func (s *simulation) endAppend(*rapid.T) {
	d := s.pick("appending daemon")
	if d.pending == nil {
		return
	}
	a := *d.pending
	d.pending = nil
	result := AppendUnknown
	kind := rapid.IntRange(0, 7).Draw(s.t, "append")
	if !d.up {
		kind = rapid.IntRange(3, 5).Draw(s.t, "append during outage")
	}
	switch kind {
	case 3:
		result = AppendRefused
	case 4: // request lost
	case 5:
		s.log.late = append(s.log.late, a.Data)
	case 6:
		s.write(a.Data)
		s.log.late = append(s.log.late, a.Data)
	case 7: // response lost
		s.write(a.Data)
	default:
		s.write(a.Data)
		result = AppendDone
	}
	s.step(d, AppendEnded{ID: a.ID, Result: result})
}

func (s *simulation) deliverLate(*rapid.T) {
	if len(s.log.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.log.late)-1).Draw(s.t, "late record")
	s.write(s.log.late[i])
	if rapid.Bool().Draw(s.t, "only once") {
		s.log.late = slices.Delete(s.log.late, i, i+1)
	}
}

func (s *simulation) read(*rapid.T) {
	d := s.pick("reading daemon")
	if d.up {
		s.readUpTo(d, rapid.IntRange(1, 4).Draw(s.t, "records"))
	}
}

func (s *simulation) readUpTo(d *daemon, count int) {
	if d.machine.Next() < s.log.first {
		s.step(d, Trimmed{First: s.log.first})
	}
	for range count {
		next := d.machine.Next()
		if next >= int64(len(s.log.records)) {
			return
		}
		s.step(d, RecordRead{Offset: next, Data: s.log.records[next]})
	}
}

func (s *simulation) partition(*rapid.T) {
	d := s.pick("cut-off daemon")
	d.up = !d.up
	s.step(d, LogState{Up: d.up})
}

// kill replaces a daemon. The append in progress of the killed daemon may still
// reach the log.
func (s *simulation) kill(*rapid.T) {
	i := rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "killed daemon")
	dead := s.daemons[i]
	if dead.pending != nil {
		s.log.late = append(s.log.late, dead.pending.Data)
	}
	s.dead[dead.name] = true
	s.daemons[i] = s.start()
	s.announceGone(dead)
}

// suspect reports a live daemon as gone, as happens after a pause.
func (s *simulation) suspect(*rapid.T) { s.announceGone(s.pick("suspected daemon")) }

func (s *simulation) announceGone(gone *daemon) {
	for _, d := range s.daemons {
		if d != gone && rapid.Bool().Draw(s.t, "told") {
			s.step(d, OwnerGone{Owner: gone.name})
		}
	}
}

func (s *simulation) tick(*rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(s.t, "ms")) * time.Millisecond)
	s.step(s.pick("ticking daemon"), Tick{})
}

// trim drops old records from the log, or appends a malformed record.
func (s *simulation) trim(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(s.t, "garbage") == 0 {
		s.write([]byte("garbage"))
		return
	}
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.t, "seconds")) * time.Second)
	end := int64(len(s.log.records))
	for s.log.first < end && s.now.Sub(s.log.times[s.log.first]) > retention {
		s.log.first++
	}
	for _, runs := range s.runs {
		for _, r := range runs {
			r.trimmed = r.trimmed || !s.visible(r.token)
		}
	}
	d := s.pick("trimming daemon")
	if d.up {
		s.readUpTo(d, int(end))
		s.step(d, Trimmed{First: s.log.first})
	}
}

// visible reports whether the log still has a record of the claim.
func (s *simulation) visible(id string) bool {
	for _, data := range s.log.records[s.log.first:] {
		if containsClaim(data, id) {
			return true
		}
	}
	return false
}

func containsClaim(data []byte, id string) bool {
	e, err := record.Decode(data)
	if err != nil {
		return false
	}
	var body batchBody
	if e.Kind != KindBatch || record.DecodeBody(e.Body, &body) != nil {
		return false
	}
	claimed := slices.ContainsFunc(body.Claims, func(c claimBody) bool { return c.ID == id })
	return claimed || slices.ContainsFunc(body.Outcomes, func(o outcomeBody) bool { return o.Claim.ID == id })
}
