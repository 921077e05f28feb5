package table

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/mimosakeel/mimosakeel/record"
)

// customerCounts are the numbers of customers of the current deployments, of a
// medium size and of the long-term target.
var customerCounts = []int{8, 1000, 9300}

// BenchmarkLookup measures the lookup of a key hash with two keys per customer.
func BenchmarkLookup(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			t := makeTable(n, 2)
			s := NewSnapshot(0, "", t)
			keys := make([]KeyHash, 0, 2*n)
			for _, c := range t.Customers {
				keys = append(keys, c.Keys...)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := s.Lookup(keys[i%len(keys)]); !ok {
					b.Fatal("missing key")
				}
			}
		})
	}
}

// BenchmarkHashKey measures the hash of a secret, which precedes each lookup.
func BenchmarkHashKey(b *testing.B) {
	secret := "mk-" + HashKey("x").String()[:43]
	b.ReportAllocs()
	for b.Loop() {
		HashKey(secret)
	}
}

// BenchmarkMemory measures the heap per customer of a restored State and its
// Snapshot, which a daemon holds in memory.
func BenchmarkMemory(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			saved := record.EncodeBody(savedState{Table: makeTable(n, 2)})
			var heapPerCustomer float64
			for b.Loop() {
				before := liveHeap()
				state := NewState()
				if err := state.Restore(saved); err != nil {
					b.Fatal(err)
				}
				heapPerCustomer = float64(liveHeap()-before) / float64(n)
				runtime.KeepAlive(state)
			}
			b.ReportMetric(heapPerCustomer, "B/customer")
			b.ReportMetric(float64(len(saved))/float64(n), "log-B/customer")
		})
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApplyEdit measures applying an edit that sets one row.
func BenchmarkApplyEdit(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			t := makeTable(n, 2)
			state := &State{version: 0, table: t}
			set := Table{Customers: t.Customers[:1]}
			offset := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				body := EditBody{Edit: "e", Base: offset, Parts: 1, Set: set}
				offset++
				e := record.Entry{Offset: offset, Envelope: record.Envelope{Kind: KindEdit, Body: record.EncodeBody(body)}}
				if !state.Apply(e) {
					b.Fatal(state.Refusal(e))
				}
			}
		})
	}
}
