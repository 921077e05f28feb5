package table

import (
	"sync/atomic"

	"github.com/mimosakeel/mimosakeel/record"
)

// Snapshot is one version of the table with its indexes. It is immutable, so that
// goroutines that handle requests read it without a lock. Callers must not modify
// its rows.
type Snapshot struct {
	version   int64
	author    string
	table     Table
	byKey     map[KeyHash]*Customer
	customers map[string]*Customer
	models    map[string]*Model
	services  map[string]*Service
	limits    map[string]*Limit
}

// NewSnapshot indexes a valid table. The snapshot takes ownership of its slices.
func NewSnapshot(version int64, author string, t Table) *Snapshot {
	s := &Snapshot{
		version:   version,
		author:    author,
		table:     t,
		byKey:     make(map[KeyHash]*Customer, countKeys(t.Customers)),
		customers: indexByName(t.Customers),
		models:    indexByName(t.Models),
		services:  indexByName(t.Services),
		limits:    indexByName(t.Limits),
	}
	for i := range t.Customers {
		for _, key := range t.Customers[i].Keys {
			s.byKey[key] = &t.Customers[i]
		}
	}
	return s
}

func countKeys(customers []Customer) int {
	count := 0
	for i := range customers {
		count += len(customers[i].Keys)
	}
	return count
}

func indexByName[R row](rows []R) map[string]*R {
	byName := make(map[string]*R, len(rows))
	for i := range rows {
		byName[rows[i].id().Name] = &rows[i]
	}
	return byName
}

// Version returns the offset of the last accepted edit, or record.NoOffset.
func (s *Snapshot) Version() int64 { return s.version }

// Author returns the incarnation that published the version.
func (s *Snapshot) Author() string { return s.author }

// Table returns all rows in canonical order.
func (s *Snapshot) Table() *Table { return &s.table }

// Lookup returns the customer that owns the key with the given hash.
func (s *Snapshot) Lookup(key KeyHash) (*Customer, bool) {
	c, ok := s.byKey[key]
	return c, ok
}

// Customer returns a customer's row.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Model returns a model's row.
func (s *Snapshot) Model(name string) (*Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Service returns a service's row.
func (s *Snapshot) Service(name string) (*Service, bool) {
	r, ok := s.services[name]
	return r, ok
}

// Limit returns the server limits of a failure domain.
func (s *Snapshot) Limit(failureDomain string) (*Limit, bool) {
	l, ok := s.limits[failureDomain]
	return l, ok
}

// Current holds the version of the table that is in force. One control goroutine
// publishes new versions; any goroutine may load the current one. The zero value is
// not usable.
type Current struct {
	snapshot atomic.Pointer[Snapshot]
}

// NewCurrent returns a Current with the empty table at version record.NoOffset.
func NewCurrent() *Current {
	c := &Current{}
	c.snapshot.Store(NewSnapshot(record.NoOffset, "", Table{}))
	return c
}

// Load returns the version in force.
func (c *Current) Load() *Snapshot { return c.snapshot.Load() }

// Publish puts a version in force and reports whether it did. It ignores nil and
// versions that aren't newer, so that a daemon that anchors again on an older
// checkpoint doesn't return to an older version.
func (c *Current) Publish(s *Snapshot) bool {
	if s == nil || s.version <= c.snapshot.Load().version {
		return false
	}
	c.snapshot.Store(s)
	return true
}
