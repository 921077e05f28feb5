package platform

import (
	"sync"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Values of the Result field in audit entries.
const (
	ResultAccepted  = "accepted"
	ResultStale     = "stale_fence"
	ResultDuplicate = "duplicate"
	ResultConflict  = "conflict"
	ResultNoEffect  = "no_effect"
	ResultUnknownFD = "unknown_failure_domain"
)

// OrderEntry is the audit record of one server order that reached the platform.
type OrderEntry struct {
	AtMs          int64               `json:"at_ms"`
	FailureDomain string              `json:"failure_domain"`
	Order         hosting.ServerOrder `json:"order"`
	Result        string              `json:"result"`
	// Highest is the highest fencing token seen before this order.
	Highest int64 `json:"highest"`
}

// ReportEntry is the audit record of one usage report that reached the
// platform.
type ReportEntry struct {
	AtMs   int64               `json:"at_ms"`
	Report hosting.UsageReport `json:"report"`
	Result string              `json:"result"`
	// Highest is the highest fencing token seen before this report.
	Highest int64 `json:"highest"`
}

// ServerEntry is the audit record of one change of a backend server.
type ServerEntry struct {
	AtMs   int64          `json:"at_ms"`
	Server hosting.Server `json:"server"`
	Change string         `json:"change"`
}

// Audit is the record of all orders, reports and other changes of the platform.
type Audit struct {
	Orders  []OrderEntry  `json:"orders"`
	Reports []ReportEntry `json:"reports"`
	Servers []ServerEntry `json:"servers"`
	// Appends counts the stored records per stream.
	Appends map[string]int64 `json:"appends"`
	// AppendsRefused counts the appends that exceeded the rate limit.
	AppendsRefused int64 `json:"appends_refused"`
	// WeightLoads counts the accepted weight-store requests per model.
	WeightLoads map[string]int64 `json:"weight_loads"`
	// WeightLoadsRefused counts the weight-store requests that exceeded the rate
	// limit.
	WeightLoadsRefused int64 `json:"weight_loads_refused"`
}

// auditor collects the audit record. It is safe for concurrent use.
type auditor struct {
	mu    sync.Mutex
	audit Audit
}

func newAuditor() *auditor {
	return &auditor{audit: Audit{
		Orders:      []OrderEntry{},
		Reports:     []ReportEntry{},
		Servers:     []ServerEntry{},
		Appends:     map[string]int64{},
		WeightLoads: map[string]int64{},
	}}
}

func (a *auditor) add(change func(*Audit)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.audit)
}

// snapshot returns a copy of the record.
func (a *auditor) snapshot() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := a.audit
	result.Orders = append([]OrderEntry{}, a.audit.Orders...)
	result.Reports = append([]ReportEntry{}, a.audit.Reports...)
	result.Servers = append([]ServerEntry{}, a.audit.Servers...)
	result.Appends = copyCounts(a.audit.Appends)
	result.WeightLoads = copyCounts(a.audit.WeightLoads)
	return result
}

func copyCounts(counts map[string]int64) map[string]int64 {
	result := make(map[string]int64, len(counts))
	for key, value := range counts {
		result[key] = value
	}
	return result
}
