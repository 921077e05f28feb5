package claim

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

// Guards against a claim that waits for a separate append of earlier outcomes and
// for another Config.Spacing, which made requests fail at their deadline of 1.2 s.
func TestClaimsAndOutcomesShareARecord(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := NewMachine(Config{Spacing: time.Second}, "vm-1.a", 0, 0)
	m.Step(now, LogState{Up: true})
	ask := func(ticket uint64) []Action {
		request := Request{Key: Key{Customer: "acme", Hash: [32]byte{byte(ticket)}}}
		return m.Step(now, Asked{Ticket: ticket, Request: request, Deadline: now.Add(time.Minute)})
	}
	first := ask(1)[0].(Append)
	m.Step(now, AppendEnded{ID: first.ID, Result: AppendDone})
	granted := m.Step(now, RecordRead{Offset: 0, Data: first.Data})[0].(Decide)
	m.Step(now, Finished{Token: granted.Decision.Token, Outcome: Outcome{Status: 200}})
	ask(2)
	actions := m.Step(now.Add(time.Second), Tick{})
	if len(actions) != 1 {
		t.Fatalf("actions %v", actions)
	}
	envelope, err := record.Decode(actions[0].(Append).Data)
	if err != nil {
		t.Fatal(err)
	}
	var body batchBody
	if err := record.DecodeBody(envelope.Body, &body); err != nil {
		t.Fatal(err)
	}
	if len(body.Claims) != 1 || len(body.Outcomes) != 1 {
		t.Errorf("%d claims and %d outcomes in one record", len(body.Claims), len(body.Outcomes))
	}
}

// Guards against memory that grows with each lost append: a claim that never
// reaches the log must not be remembered for ever after its request has ended.
func TestAbandonedClaimsAreForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := NewMachine(Config{}, "vm-1.a", 0, 0)
	m.Step(now, LogState{Up: true})
	for ticket := range uint64(50) {
		request := Request{Key: Key{Customer: "acme", Hash: [32]byte{byte(ticket)}}}
		actions := m.Step(now, Asked{Ticket: ticket, Request: request, Deadline: now.Add(time.Second)})
		for _, a := range actions {
			if sent, ok := a.(Append); ok {
				m.Step(now, AppendEnded{ID: sent.ID, Result: AppendUnknown})
			}
		}
		now = now.Add(2 * time.Second)
		m.Step(now, Tick{})
	}
	if len(m.abandoned) == 0 {
		t.Fatal("no claim was abandoned")
	}
	for range 3 {
		now = now.Add(abandonedTTL)
		m.Step(now, Tick{})
	}
	if len(m.abandoned) > 0 {
		t.Fatalf("%d abandoned claims are remembered", len(m.abandoned))
	}
}
