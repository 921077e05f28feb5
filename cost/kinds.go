// Package cost learns how much work requests are, by kind, and how fast servers do
// it. It has no clock and no network: callers pass the time and exchange the reports.
package cost

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Kind is a group of requests that are expected to cost alike.
type Kind struct {
	// Route is the name of the route, Model the model or service.
	Route, Model string
	// Size is the size class of the request; see SizeClass.
	Size uint8
	// Customer is the customer; it matters once its requests were observed.
	Customer string
}

// SizeClass returns the class of a size in bytes or tokens. A class spans a factor
// of 4.
func SizeClass(size int) uint8 {
	class := uint8(0)
	for ; size > 0; size >>= 2 {
		class++
	}
	return class
}

// key identifies the kind without its customer, or with it.
func (k *Kind) key(customer bool) uint64 {
	h := mix(xxhash.Sum64String(k.Route), xxhash.Sum64String(k.Model))
	h = mix(h, uint64(k.Size))
	if customer {
		h = mix(h, xxhash.Sum64String(k.Customer)|1)
	}
	return h
}

// mix combines two hashes. The odd constant is that of Fibonacci hashing.
func mix(a, b uint64) uint64 {
	h := (a ^ b>>29 ^ b<<35) * 0x9e3779b97f4a7c15
	return h ^ h>>32
}

const (
	// customerWeight is the number of observations of a customer that count as much as
	// those of all customers.
	customerWeight = 8
	// evictionSamples is the number of kinds of which the one that was observed least
	// recently is dropped when there are too many.
	evictionSamples = 8
)

// Expectation is the expected cost of a request.
type Expectation struct {
	// Mean and Typical are the arithmetic and the geometric mean.
	Mean, Typical float64
	// Known is false if nothing was observed. The means are 0 then.
	Known bool
}

// Kinds learns the distribution of a quantity for each kind. It isn't safe for
// concurrent use.
type Kinds struct {
	entries map[uint64]*kindEntry
	max     int
	turn    uint64
	// rejected counts the observations that were not plausible.
	rejected uint64
}

type kindEntry struct {
	Distribution
	used uint64
}

// NewKinds returns an empty table that remembers a number of kinds, counted with and
// without customer. A kind takes about 250 bytes.
func NewKinds(most int) *Kinds { return &Kinds{entries: map[uint64]*kindEntry{}, max: most} }

// Rejected returns the number of observations that were negative, not finite or absurd.
func (t *Kinds) Rejected() uint64 { return t.rejected }

// Observe records an observed value. It reports whether the value is plausible; others
// are counted only.
func (t *Kinds) Observe(k Kind, value float64) bool {
	if math.IsNaN(value) || value < minValue || value > maxValue {
		t.rejected++
		return false
	}
	t.entry(k.key(false)).add(value)
	if k.Customer != "" {
		t.entry(k.key(true)).add(value)
	}
	return true
}

func (t *Kinds) entry(key uint64) *kindEntry {
	t.turn++
	e := t.entries[key]
	if e == nil {
		if len(t.entries) >= t.max {
			t.evict()
		}
		e = &kindEntry{}
		t.entries[key] = e
	}
	e.used = t.turn
	return e
}

// evict drops one of a few kinds, in the random order of map iteration.
func (t *Kinds) evict() {
	oldest, seen := uint64(0), 0
	used := uint64(math.MaxUint64)
	for key, e := range t.entries {
		if e.used < used {
			oldest, used = key, e.used
		}
		if seen++; seen == evictionSamples {
			break
		}
	}
	delete(t.entries, oldest)
}

// Expect returns the expected value of a kind: that of the customer as far as it was
// observed, otherwise that of all customers.
func (t *Kinds) Expect(k Kind) Expectation {
	all := t.entries[k.key(false)]
	if all == nil {
		return Expectation{}
	}
	out := expectation(&all.Distribution)
	if k.Customer == "" {
		return out
	}
	own := t.entries[k.key(true)]
	if own == nil {
		return out
	}
	share := own.Weight() / (own.Weight() + customerWeight)
	custom := expectation(&own.Distribution)
	out.Mean += share * (custom.Mean - out.Mean)
	out.Typical *= math.Pow(custom.Typical/out.Typical, share)
	return out
}

func expectation(d *Distribution) Expectation {
	return Expectation{Mean: d.Mean(), Typical: d.Typical(), Known: true}
}
