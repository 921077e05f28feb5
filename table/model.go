// Package table implements the table in which operators configure customers,
// models, services and server limits: its file format, its validation, the edits
// that change it, the state that is folded from the edits in the log, and an
// immutable snapshot for the request path.
package table

import (
	"cmp"
	"path"
	"slices"
	"strings"
)

// Customer is the row of a customer: its weight, limits, keys and permissions.
type Customer struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Weight is the customer's share relative to the other customers' weights.
	Weight float64 `json:"weight" cbor:"2,keyasint"`
	// RequestsPerSecond and Burst limit the rate of requests over all daemons.
	RequestsPerSecond float64 `json:"requests_per_second" cbor:"3,keyasint"`
	// Burst is a number of requests.
	Burst int `json:"burst" cbor:"4,keyasint"`
	// Concurrency is the number of requests that may run at the same time.
	Concurrency int `json:"concurrency" cbor:"5,keyasint"`
	// TokensPerMinute limits prompt and output tokens together.
	TokensPerMinute int64 `json:"tokens_per_minute" cbor:"6,keyasint"`
	// Keys are the hashes of the customer's keys, in ascending order.
	Keys []KeyHash `json:"keys,omitempty" cbor:"7,keyasint,omitempty"`
	// Models and Services are the names of those that the customer may use, in
	// ascending order.
	Models   []string `json:"models,omitempty" cbor:"8,keyasint,omitempty"`
	Services []string `json:"services,omitempty" cbor:"9,keyasint,omitempty"`
}

// AllowsModel reports whether the customer may use a model.
func (c *Customer) AllowsModel(name string) bool {
	_, ok := slices.BinarySearch(c.Models, name)
	return ok
}

// AllowsService reports whether the customer may use a service.
func (c *Customer) AllowsService(name string) bool {
	_, ok := slices.BinarySearch(c.Services, name)
	return ok
}

// Model is the row of a model.
type Model struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Adapters are the names of the adapters that engines load for the model.
	Adapters []string `json:"adapters,omitempty" cbor:"2,keyasint,omitempty"`
	Version  string   `json:"version" cbor:"3,keyasint"`
	// WeightBytes is the size of the model's weights in the weight store.
	WeightBytes int64 `json:"weight_bytes" cbor:"4,keyasint"`
}

// Service is the row of a plain service and of its route /services/NAME/.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Backends are the services in the platform's server list whose backend
	// servers receive the requests.
	Backends []string `json:"backends" cbor:"2,keyasint"`
	// Open services need no key.
	Open bool `json:"open,omitempty" cbor:"3,keyasint,omitempty"`
	// MethodsIdempotent are rules for the calls that may run more than once:
	// "GET" covers a method on all paths, "POST /lookup" covers a method on a path
	// and the paths below it.
	MethodsIdempotent []string `json:"methods_idempotent,omitempty" cbor:"4,keyasint,omitempty"`
}

// Idempotent reports whether a call may be run more than once. callPath is the
// path below the service's route and starts with a slash. A path with empty,
// "." or ".." segments never matches a rule with a path, because the backend
// server may resolve it to a different path.
func (s *Service) Idempotent(method, callPath string) bool {
	return slices.ContainsFunc(s.MethodsIdempotent, func(rule string) bool {
		ruleMethod, prefix, hasPath := strings.Cut(rule, " ")
		switch {
		case ruleMethod != method:
			return false
		case !hasPath:
			return true
		case path.Clean(callPath) != strings.TrimSuffix(callPath, "/") && callPath != "/":
			return false
		}
		return callPath == prefix || strings.HasPrefix(callPath, strings.TrimSuffix(prefix, "/")+"/")
	})
}

// Limit bounds the number of backend servers ordered in a failure domain.
type Limit struct {
	FailureDomain string `json:"failure_domain" cbor:"1,keyasint"`
	OnDemandMax   int    `json:"on_demand_max" cbor:"2,keyasint"`
	CheapMax      int    `json:"cheap_max" cbor:"3,keyasint"`
}

// Table is the whole configuration or, in an edit, the rows to set. A table is
// canonical if its rows and the lists in them are sorted, see canonicalize.
type Table struct {
	Customers []Customer `json:"customers,omitempty" cbor:"1,keyasint,omitempty"`
	Models    []Model    `json:"models,omitempty" cbor:"2,keyasint,omitempty"`
	Services  []Service  `json:"services,omitempty" cbor:"3,keyasint,omitempty"`
	Limits    []Limit    `json:"limits,omitempty" cbor:"4,keyasint,omitempty"`
}

// Rows returns the number of rows.
func (t *Table) Rows() int {
	return len(t.Customers) + len(t.Models) + len(t.Services) + len(t.Limits)
}

// HasKey reports whether any customer has a key.
func (t *Table) HasKey() bool {
	return slices.ContainsFunc(t.Customers, func(c Customer) bool { return len(c.Keys) > 0 })
}

// RowKind is the type of a row.
type RowKind string

// The kinds of rows.
const (
	RowCustomer RowKind = "customer"
	RowModel    RowKind = "model"
	RowService  RowKind = "service"
	RowLimit    RowKind = "limit"
)

// RowID identifies a row.
type RowID struct {
	Kind RowKind `cbor:"1,keyasint"`
	Name string  `cbor:"2,keyasint"`
}

// String returns the kind and the name.
func (id RowID) String() string { return string(id.Kind) + " " + id.Name }

// row is the constraint of functions that handle rows of any type.
type row interface {
	Customer | Model | Service | Limit
	id() RowID
}

func (c Customer) id() RowID { return RowID{RowCustomer, c.Name} }
func (m Model) id() RowID    { return RowID{RowModel, m.Name} }
func (s Service) id() RowID  { return RowID{RowService, s.Name} }
func (l Limit) id() RowID    { return RowID{RowLimit, l.FailureDomain} }

func byName[R row](a, b R) int { return cmp.Compare(a.id().Name, b.id().Name) }

// canonicalize sorts the rows and the lists that are sets, so that equal tables
// have equal encodings.
func (t *Table) canonicalize() {
	for i := range t.Customers {
		c := &t.Customers[i]
		c.Keys = sortedSet(c.Keys, KeyHash.Compare)
		c.Models = sortedSet(c.Models, cmp.Compare)
		c.Services = sortedSet(c.Services, cmp.Compare)
	}
	for i := range t.Models {
		t.Models[i].Adapters = sortedSet(t.Models[i].Adapters, cmp.Compare)
	}
	for i := range t.Services {
		s := &t.Services[i]
		s.Backends = sortedSet(s.Backends, cmp.Compare)
		s.MethodsIdempotent = sortedSet(s.MethodsIdempotent, cmp.Compare)
	}
	slices.SortStableFunc(t.Customers, byName)
	slices.SortStableFunc(t.Models, byName)
	slices.SortStableFunc(t.Services, byName)
	slices.SortStableFunc(t.Limits, byName)
}

// sortedSet returns the items sorted and without duplicates, or nil if empty.
func sortedSet[T comparable](items []T, compare func(a, b T) int) []T {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compare)
	return slices.Clip(slices.Compact(sorted))
}
