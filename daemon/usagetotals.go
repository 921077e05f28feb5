package daemon

import (
	"sync"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/usage"
)

type usageKey struct{ customer, resource string }

// usageTotals implements gateway.UsageRecorder. Traffic goroutines add usage to it,
// and the control goroutine collects the totals.
type usageTotals struct {
	mu   sync.Mutex
	sums map[usageKey]usage.Sum
}

func newUsageTotals() *usageTotals { return &usageTotals{sums: map[usageKey]usage.Sum{}} }

// Add implements gateway.UsageRecorder.
func (t *usageTotals) Add(e gateway.UsageEntry) {
	key := usageKey{e.Customer, e.Resource}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.sums[key]
	sum.Requests += e.Requests
	sum.TokensIn += e.TokensIn
	sum.TokensOut += e.TokensOut
	t.sums[key] = sum
}

// takeAll returns the sums and clears them.
func (t *usageTotals) takeAll() map[usageKey]usage.Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.sums
	t.sums = make(map[usageKey]usage.Sum, len(taken))
	return taken
}
