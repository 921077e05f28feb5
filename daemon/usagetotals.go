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
func (a *usageTotals) Add(e gateway.UsageEntry) {
	key := usageKey{e.Customer, e.Resource}
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.sums[key]
	sum.Requests += e.Requests
	sum.TokensIn += e.TokensIn
	sum.TokensOut += e.TokensOut
	a.sums[key] = sum
}

// takeAll returns the sums and clears them.
func (a *usageTotals) takeAll() map[usageKey]usage.Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.sums
	a.sums = make(map[usageKey]usage.Sum, len(taken))
	return taken
}
