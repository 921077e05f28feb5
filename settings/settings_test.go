package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

const example = "../examples/mimosakeel.json"

// Guards against an example file that the program rejects, and against a
// default in the code that differs from the documented example.
func TestExampleIsValidAndShowsTheDefaults(t *testing.T) {
	s, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Process.VM, want.Process.FailureDomain, want.Process.Region = "vm-1", "fd-a", "north"
	want.Clients.Listen, want.Peers.Listen = "127.0.0.1:8080", "127.0.0.1:7080"
	want.Peers.CA, want.Peers.Cert, want.Peers.Key = "peer-ca.crt", "vm-1.crt", "vm-1.key"
	want.Platform = Platform{URL: "http://127.0.0.1:9000", OrdersCheckFence: true, UsageChecksFence: true}
	if s != want {
		t.Fatalf("got  %+v\nwant %+v", s, want)
	}
	if got := s.CheckpointInterval(); got != 15*time.Minute {
		t.Fatalf("checkpoint interval %s", got)
	}
}

// Guards against a validation that stops at the first error: all errors of a
// file must be reported, each with its line.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	file := `{
  "process": {"vm": "a.b", "failure_domain": "fd", "colour": 1},
  "clients": {"listen": "nowhere",
    "retry_budget": 2,
    "retry_budget": 0.1,
    "body_limit_bytes": "big"},
  "peers": {"listen": "127.0.0.1:1", "ca": "a", "cert": "b", "key": null},
  "platform": {"url": "ftp://x"},
  "lease": {"duration": "3s", "renew": 2},
  "usage": {"window": "1500ms"},
  "extra": {}
}`
	_, err := Parse("s.json", []byte(file))
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got %v", err)
	}
	wants := []string{
		`s.json:2: process.vm: "a.b" must consist`,
		`s.json:2: process.colour: unknown name`,
		`s.json:2: process.region: is required`,
		`s.json:3: clients.listen: "nowhere" is not an address`,
		`s.json:4: clients.retry_budget: must be from 0 to 1`,
		`s.json:5: clients.retry_budget: given twice`,
		`s.json:6: clients.body_limit_bytes: must be a whole number, not a string`,
		`s.json:7: peers.key: must be a string, not null`,
		`s.json:8: platform.url: "ftp://x" is not an http`,
		`s.json:9: lease.duration: 3s is below the minimum of 5s`,
		`s.json:9: lease.renew: must be a duration`,
		`s.json:10: usage.window: must be a whole number of seconds`,
		`s.json:11: extra: unknown name`,
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

// Guards against a syntax error that is reported without its line.
func TestSyntaxErrorNamesTheLine(t *testing.T) {
	_, err := Parse("s.json", []byte("{\n  \"process\": {\n  \"vm\" 3}}"))
	if err == nil || !strings.HasPrefix(err.Error(), "s.json:3: ") {
		t.Fatalf("got %v", err)
	}
}

// Guards against an incarnation from which other daemons can't extract the VM
// id.
func TestIncarnationNamesItsVM(t *testing.T) {
	s := Default()
	s.Process.VM = "vm-7"
	if got := IncarnationVM(s.Incarnation(time.UnixMilli(1))); got != "vm-7" {
		t.Fatalf("got %q", got)
	}
}

// Guards against settings files that crash the decoder or that pass with a
// value with which the daemon can't run.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(example)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"process":{"vm":"a"},"lease":{"renew":"2562047h"}}`))
	f.Add([]byte(`[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[`))
	f.Add([]byte("{\"process\":{\"vm\":\"\\ud800\"} /* open"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			return
		}
		if s.Lease.Duration < 2*s.Lease.Renew+s.Lease.Margin || s.Process.VM == "" || s.Clients.BodyLimit < 1 {
			t.Fatalf("accepted %+v", s)
		}
	})
}
