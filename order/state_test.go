package order

import (
	"testing"

	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// Guards against a second open intent for a target and against intents from a
// process that does not hold the lease. State.Apply must refuse such records from
// any author.
func TestOpenRules(t *testing.T) {
	s := NewState()
	apply := func(offset int64, author string, kind record.Kind, body any) bool {
		e := record.Envelope{Kind: kind, Author: author, Body: record.EncodeBody(body)}
		return s.Apply(record.Entry{Offset: offset, Envelope: e})
	}
	open := func(term int64, targets ...string) OpenBody {
		body := OpenBody{Term: term}
		for _, id := range targets {
			body.Intents = append(body.Intents, NewIntent{Target: id, Kind: TargetEngine})
		}
		return body
	}
	steps := []struct {
		author string
		kind   record.Kind
		body   any
		want   bool
	}{
		{"a", KindOpen, open(0, "e1"), false},
		{"a", lease.KindClaim, lease.Body{VM: "vm1"}, true},
		{"b", KindOpen, open(1, "e1"), false},
		{"a", KindOpen, open(0, "e1"), false},
		{"a", KindOpen, open(1, "e1", "e1"), false},
		{"a", KindOpen, open(1, "e1", "e2"), true},
		{"a", KindOpen, open(1, "e3", "e2"), false},
		{"a", KindClose, CloseBody{Term: 1, Results: []IntentResult{{Intent: IntentID{4, 0}, Target: "e1"}}}, false},
		{"a", KindClose, CloseBody{Term: 1, Results: []IntentResult{{Intent: IntentID{5, 0}, Target: "e1"}}}, true},
		{"a", KindOpen, open(1, "e1"), true},
	}
	for i, step := range steps {
		if got := apply(int64(i), step.author, step.kind, step.body); got != step.want {
			t.Fatalf("record %d (%s by %s): accepted %v, want %v", i, step.kind, step.author, got, step.want)
		}
	}
}
