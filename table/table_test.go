package table

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
	"github.com/mimosakeel/mimosakeel/record"
)

const examplePath = "../examples/table.json"

func TestMain(m *testing.M) {
	testseed.Fix(12, 200)
	os.Exit(m.Run())
}

func exampleFile(t testing.TB) File {
	t.Helper()
	data, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	file, err := Parse(examplePath, data)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against an example file that Parse refuses, and against a printed table
// that can't be published again because formatting changes or invalidates it.
func TestExampleSurvivesFormatting(t *testing.T) {
	file := exampleFile(t)
	again, err := Parse("again", Format(file))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(file, again) {
		t.Fatalf("got  %+v\nwant %+v", again, file)
	}
	if _, err := Parse("empty", Format(File{Version: 3})); err != nil {
		t.Fatal(err)
	}
}

// Guards against a problem in a table file that hides another one or that is
// reported without its line and row, and against errors that repeat a secret.
func TestAllTableProblemsNameLineAndRow(t *testing.T) {
	hash := HashKey("secret").String()
	_, err := Parse("t.json", []byte(`{
  "customers": [
    {"name": "acme", "weight": 0, "requests_per_second": 1, "burst": 1, "concurrency": 1, "tokens_per_minute": 1,
     "keys": ["hunter2", "`+hash+`"]},
    {"name": "acme", "weight": 1, "requests_per_second": 1, "burst": 1, "concurrency": 1, "tokens_per_minute": 1,
     "keys": ["`+hash+`"],
     "models": ["none"], "colour": 1},
    {"weight": 1, "requests_per_second": 1, "burst": 1, "concurrency": 1, "tokens_per_minute": 1}],
  "services": [{"name": "s", "methods_idempotent": ["get"]}],
  "limits": [{"failure_domain": "fd", "cheap_max": -1}]
}`))
	if err == nil {
		t.Fatal("a file with problems is accepted")
	}
	wants := []string{
		"t.json:3: customers[acme].weight: must be a positive number",
		"t.json:4: customers[acme].keys[0]: key must have the form sha256:<hex>",
		`t.json:5: customers[acme].name: "acme" is the name of an earlier row`,
		`t.json:6: customers[acme].keys[0]: the key already belongs to customer "acme"`,
		`t.json:7: customers[acme].models[0]: "none" has no row`,
		"t.json:7: customers[acme].colour: unknown name",
		"t.json:8: customers[2].name: is required",
		"t.json:9: services[s].backends: needs at least one",
		`t.json:9: services[s].methods_idempotent[0]: "get" is neither`,
		"t.json:10: limits[fd].cheap_max: must be from 0",
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
	if strings.Contains(err.Error(), "hunter2") {
		t.Error("the error repeats a pasted secret")
	}
}

// Guards against a change between two tables that is missing from the edit or
// from its description.
func TestEditBetweenTurnsOneTableIntoTheOther(t *testing.T) {
	old := exampleFile(t).Table
	updated := exampleFile(t).Table
	updated.Customers[0].Weight = 2
	updated.Customers[0].Keys = []KeyHash{HashKey("new")}
	updated.Customers[0].Services = nil
	updated.Services = updated.Services[1:]
	updated.Limits = append(updated.Limits, Limit{FailureDomain: "fd-b", CheapMax: 1})
	updated.canonicalize()
	edit := EditBetween(&old, &updated)
	if got := applyEdit(&old, split(edit, "e", 0, false)); !reflect.DeepEqual(got, updated) {
		t.Fatalf("got  %+v\nwant %+v", got, updated)
	}
	want := []string{
		"~ customer harbour-desk: weight 1 -> 2, keys +" + HashKey("new").String() +
			" -sha256:52a5e5d5a1c7bf9c0f3d4a87b44a1c88d3c3b9a6d6b2e3fd5d64aa9a1f0c7d11, services -bookings",
		"+ limit fd-b: cheap_max 1",
		"- service bookings",
	}
	if got := Diff(&old, edit); !reflect.DeepEqual(got, want) {
		t.Fatalf("got  %q\nwant %q", got, want)
	}
}

// Guards against an idempotency rule that also matches calls with side effects,
// which would then be repeated after a failure.
func TestIdempotentRules(t *testing.T) {
	s := Service{MethodsIdempotent: []string{"GET", "POST /lookup"}}
	cases := map[string]bool{
		"GET /anything": true, "POST /lookup": true, "POST /lookup/7": true, "POST /lookup/": true,
		"POST /book": false, "POST /lookups": false, "POST /lookup/../book": false, "POST /lookup//x": false,
		"PUT /lookup": false, "get /x": false, "POST /": false,
	}
	for call, want := range cases {
		method, path, _ := strings.Cut(call, " ")
		if got := s.Idempotent(method, path); got != want {
			t.Errorf("%s: got %v", call, got)
		}
	}
}

func newChain() (*record.Chain, *State) {
	state := NewState()
	return record.NewChain(Subject, state, 0), state
}

// Guards against an edit that locks out all customers by mistake, because it
// leaves no customer with a key.
func TestLockoutNeedsForce(t *testing.T) {
	chain, state := newChain()
	_, err := NewPublisher(chain, state, Edit{Set: Table{Limits: []Limit{{FailureDomain: "fd"}}}}, -1, "op", "e", false)
	if !errors.Is(err, ErrLockout) {
		t.Fatalf("got %v", err)
	}
	body := EditBody{Edit: "e", Base: -1, Parts: 1}
	entry := record.Entry{Envelope: record.Envelope{Kind: KindEdit, Body: record.EncodeBody(body)}}
	if err := state.Refusal(entry); !errors.Is(err, ErrLockout) {
		t.Fatalf("fold: %v", err)
	}
	body.Force = true
	entry.Body = record.EncodeBody(body)
	if err := state.Refusal(entry); err != nil {
		t.Fatal(err)
	}
}

// Guards against an edit of several parts that takes effect before its last part
// is accepted.
func TestSnapshotChangesOnlyWithTheLastPart(t *testing.T) {
	chain, state := newChain()
	edit := Edit{Set: makeTable(450, 2)}
	p, err := NewPublisher(chain, state, edit, record.NoOffset, "op", "e", false)
	if err != nil {
		t.Fatal(err)
	}
	for offset := int64(0); ; offset++ {
		envelope, more := p.Next()
		if !more {
			break
		}
		if state.InForce().Version() != record.NoOffset {
			t.Fatal("version changed before the last part")
		}
		for _, d := range chain.Apply(record.Entry{Offset: offset, Envelope: envelope}) {
			p.Observe(d)
		}
	}
	if p.Result() != Published || p.Version() != 2 || state.Version() != 2 || len(state.Table().Customers) != 450 {
		t.Fatalf("result %v at %d", p.Result(), p.Version())
	}
	restored := NewState()
	if err := restored.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.table, state.table) {
		t.Fatal("a checkpoint changes the table")
	}
}

// Guards against a daemon that returns to an older version after it has anchored
// again on an older checkpoint.
func TestCurrentIgnoresOlderVersions(t *testing.T) {
	c := NewCurrent()
	if !c.Publish(NewSnapshot(7, "a", Table{})) || c.Publish(NewSnapshot(6, "a", Table{})) || c.Publish(nil) {
		t.Fatal("an older version or nil was accepted, or a newer one refused")
	}
	if got := c.Load().Version(); got != 7 {
		t.Fatalf("version %d", got)
	}
}

// makeTable returns a valid table of n customers with the given number of keys.
func makeTable(n, keys int) Table {
	t := Table{Models: []Model{{Name: "m", Version: "1", WeightBytes: 1}}}
	for i := range n {
		c := Customer{
			Name: fmt.Sprintf("customer-%05d", i), Weight: 1, RequestsPerSecond: 10, Burst: 20,
			Concurrency: 8, TokensPerMinute: 1e6, Models: []string{"m"},
		}
		for k := range keys {
			c.Keys = append(c.Keys, HashKey(fmt.Sprint(i, "/", k)))
		}
		t.Customers = append(t.Customers, c)
	}
	t.canonicalize()
	return t
}
