// Package hosting defines the interfaces of the hosting platform: an append-only
// log, keyed topics, orders for backend servers, usage reports and the VM list.
// Packages httpapi and platform implement them over HTTP.
package hosting

import (
	"context"
	"fmt"
	"time"
)

// NoOffset marks the absence of an offset. Log offsets start at 0.
const NoOffset int64 = -1

// Record is one entry of a log stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read of a log stream.
type Page struct {
	// First is the lowest offset that the stream still keeps.
	First int64 `json:"first"`
	// Next is the offset that the next appended record will get.
	Next int64 `json:"next"`
	// Records are in offset order, without gaps.
	Records []Record `json:"records"`
}

// Outcome states whether a call took effect on the platform.
type Outcome int

// The outcomes of a call with an effect.
const (
	// OutcomeUnknown means that the answer was lost; the call may have taken
	// effect, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the call took effect.
	OutcomeDone
	// OutcomeRefused means that the call certainly has no effect.
	OutcomeRefused
)

// String returns the outcome's name as logged.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// TrimmedError reports a read below the first offset that a stream keeps.
type TrimmedError struct {
	Stream string
	First  int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s is trimmed: first readable offset is %d", e.Stream, e.First)
}

// StaleFenceError reports an order that was refused because the receiver has
// accepted an order with a higher fencing token.
type StaleFenceError struct {
	// Fence is the highest fencing token that the receiver has accepted.
	Fence int64
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing token is stale: receiver has accepted %d", e.Fence)
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record. With OutcomeUnknown the caller must read the
	// stream to learn whether the record was stored.
	Append(ctx context.Context, stream string, data []byte) (offset int64, outcome Outcome, err error)
	// Read returns up to limit records from offset from, waiting at most wait
	// for the first one. It fails with *TrimmedError below the first offset.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// ServerClass is the price class of a backend server.
type ServerClass string

// The classes of backend servers.
const (
	ClassOnDemand ServerClass = "on_demand"
	// ClassCheap servers can be evicted at a few seconds' notice.
	ClassCheap ServerClass = "cheap"
)

// ServerKind is the kind of software that runs on a backend server.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine ServerKind = "engine"
	KindApp    ServerKind = "app"
)

// ServerState is the platform's view of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerStarting ServerState = "starting"
	ServerLive     ServerState = "live"
	ServerLeaving  ServerState = "leaving"
)

// Server is one entry of the platform's list of backend servers.
type Server struct {
	ID            string      `json:"id"`
	FailureDomain string      `json:"failure_domain"`
	Class         ServerClass `json:"class"`
	Kind          ServerKind  `json:"kind"`
	// Service names the plain service of a KindApp server.
	Service string      `json:"service,omitempty"`
	URL     string      `json:"url"`
	State   ServerState `json:"state"`
	// LeaveAtMs is the Unix time in milliseconds at which a leaving server
	// stops; 0 if unknown.
	LeaveAtMs int64 `json:"leave_at_ms,omitempty"`
	// ChecksFence reports whether the server refuses orders with an old fencing
	// token.
	ChecksFence bool `json:"checks_fence"`
}

// ServerOrder sets the number of backend servers wanted in a failure domain.
type ServerOrder struct {
	// ID is the idempotency key.
	ID string `json:"id"`
	// Fence is the fencing token, the term of the sender's lease.
	Fence    int64 `json:"fence"`
	OnDemand int   `json:"on_demand"`
	Cheap    int   `json:"cheap"`
	// Sender is the incarnation of the process that sends the order, for audit.
	Sender string `json:"sender"`
}

// Servers orders and lists backend servers.
type Servers interface {
	// Order fails with *StaleFenceError if the platform has accepted a higher
	// fencing token.
	Order(ctx context.Context, failureDomain string, order ServerOrder) (Outcome, error)
	List(ctx context.Context) ([]Server, error)
}

// UsageFigure is one customer's usage of one model or service in a window.
type UsageFigure struct {
	Customer  string `json:"customer"`
	Resource  string `json:"resource"`
	Requests  int64  `json:"requests"`
	TokensIn  int64  `json:"tokens_in"`
	TokensOut int64  `json:"tokens_out"`
	// Late counts the requests carried over from an earlier closed window.
	Late int64 `json:"late,omitempty"`
}

// UsageReport is the usage report of one window.
type UsageReport struct {
	// ID is the idempotency key.
	ID string `json:"id"`
	// Window is the Unix time in seconds at which the window starts.
	Window int64 `json:"window"`
	// Fence is the fencing token, Reporter the process that sends the report.
	Fence    int64         `json:"fence"`
	Reporter string        `json:"reporter"`
	Figures  []UsageFigure `json:"figures"`
	// Check runs immediately before the first byte is written; if it fails, nothing
	// is sent. The platform may not check the fencing token. It may be nil.
	Check func() error `json:"-"`
}

// Usage accepts per-customer usage reports, one per window.
type Usage interface {
	// Report fails with *StaleFenceError if the platform has accepted a higher
	// fencing token.
	Report(ctx context.Context, report UsageReport) (Outcome, error)
}

// VMState is the platform's view of a VM of the system.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	ID            string  `json:"id"`
	Addr          string  `json:"addr"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMs reads the VM list, which may be out of date.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}

// CapacityOrder sets the number of servers of one class that a service has in a
// failure domain.
type CapacityOrder struct {
	Service       string
	FailureDomain string
	Class         ServerClass
	Count         int
	// Fence is the fencing token, the lease term of the sender; Sender is its VM.
	Fence  int64
	Sender string
	// Check runs immediately before the first byte is written; if it fails, nothing
	// is sent. The platform may not check the fencing token. It may be nil.
	Check func() error
}

// Capacity orders backend servers per service.
type Capacity interface {
	// SetCount fails with *StaleFenceError if the platform has accepted a higher
	// fencing token, and with *UnavailableError if no such servers are available.
	SetCount(ctx context.Context, order CapacityOrder) (Outcome, error)
}

// UnavailableError reports an order for servers that are not available at present.
type UnavailableError struct{ Order CapacityOrder }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no %s servers are available in %s", e.Order.Class, e.Order.FailureDomain)
}
