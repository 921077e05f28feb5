package provision

import (
	"math"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Report is the load of one pool as its scheduler measures it. Rates are per
// second and include refused requests.
type Report struct {
	Requests float64 `cbor:"1,keyasint"`
	// Prefill is the rate of prompt tokens that are not cached, Decode that of answer
	// tokens.
	Prefill float64 `cbor:"2,keyasint"`
	Decode  float64 `cbor:"3,keyasint"`
	// PrefillRate and DecodeRate are the learned rates of one engine in tokens per
	// second; 0 if unknown.
	PrefillRate float64 `cbor:"4,keyasint"`
	DecodeRate  float64 `cbor:"5,keyasint"`
	// Spread is the squared coefficient of variation of the prefill work per request.
	Spread float64 `cbor:"6,keyasint"`
	// Waiting is the prompt tokens of the requests without a grant.
	Waiting float64 `cbor:"7,keyasint,omitempty"`
	// Wait is the mean predicted wait of a new request at the prefill engines, in
	// seconds.
	Wait float64 `cbor:"8,keyasint,omitempty"`
	// Refused is the rate of refused requests.
	Refused float64 `cbor:"9,keyasint,omitempty"`
	// Memory is the number of engines whose KV memory is reserved.
	Memory float64 `cbor:"10,keyasint,omitempty"`
	// Groups is the outstanding work of each group of servers.
	Groups []GroupWork `cbor:"11,keyasint,omitempty"`
}

// GroupWork is the outstanding work of the engines of one class and failure
// domain, in seconds of one engine.
type GroupWork struct {
	FailureDomain string  `cbor:"1,keyasint"`
	Cheap         bool    `cbor:"2,keyasint,omitempty"`
	Work          float64 `cbor:"3,keyasint"`
}

// The bounds of reports. A pool has at most 32 engines, which process at most
// 200,000 prompt tokens per second each.
const (
	maxRequestRate = 1e5
	maxTokenRate   = 1e8
	maxWaiting     = 1e10
	maxWait        = 3600
	maxSpread      = 20
	maxMemory      = 1e3
	maxGroups      = 64
	minEngineRate  = 1
)

// Problem returns the name of the first field with a value that can't be right,
// or "" if there is none.
func (r *Report) Problem() string {
	for _, f := range []struct {
		name       string
		value, max float64
	}{
		{"requests", r.Requests, maxRequestRate},
		{"prefill", r.Prefill, maxTokenRate},
		{"decode", r.Decode, maxTokenRate},
		{"prefill_rate", r.PrefillRate, maxTokenRate},
		{"decode_rate", r.DecodeRate, maxTokenRate},
		{"spread", r.Spread, math.MaxFloat64},
		{"waiting", r.Waiting, maxWaiting},
		{"wait", r.Wait, maxWait},
		{"refused", r.Refused, maxRequestRate},
		{"memory", r.Memory, maxMemory},
	} {
		if !(f.value >= 0 && f.value <= f.max) {
			return f.name
		}
	}
	if len(r.Groups) > maxGroups {
		return "groups"
	}
	for _, g := range r.Groups {
		if !(g.Work >= 0 && g.Work <= maxWaiting) {
			return "work"
		}
	}
	return ""
}

func (g *GroupWork) group() Group {
	if g.Cheap {
		return Group{g.FailureDomain, hosting.ClassCheap}
	}
	return Group{g.FailureDomain, hosting.ClassOnDemand}
}
