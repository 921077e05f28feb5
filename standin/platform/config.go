// Package platform implements a stand-in for the hosting platform. It serves
// the log service, server orders, usage reports, the VM list and the weight
// store over HTTP, with fault injection and an audit record. All state is in
// memory.
package platform

import (
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Config configures the stand-in. Zero values select the defaults named here.
type Config struct {
	// AppendsPerSecond limits the rate of appends over all log streams; default
	// 500. Appends that exceed it are refused with status 429.
	AppendsPerSecond float64
	// RetainRecords is the number of records that each log stream keeps; 0 means
	// no limit.
	RetainRecords int
	// RetainFor is the time for which each log stream keeps a record; 0 means no
	// limit.
	RetainFor time.Duration
	// KeepTrimmed keeps trimmed records for GET /audit/log/STREAM.
	KeepTrimmed bool
	// OrdersIgnoreFence makes the order route accept stale fencing tokens.
	OrdersIgnoreFence bool
	// UsageIgnoresFence makes the usage route accept stale fencing tokens.
	UsageIgnoresFence bool
	// LeadTime is the time from an order until a new server is live; default
	// 2 s.
	LeadTime time.Duration
	// StopNotice is the notice that a surplus server gets before it stops;
	// default 30 s.
	StopNotice time.Duration
	// EvictNotice is the notice that evicted servers get before they stop; default
	// 5 s.
	EvictNotice time.Duration
	// VMLag is the delay after which GET /vms returns a changed VM list.
	VMLag time.Duration
	// VMs is the initial VM list.
	VMs []hosting.VM
	// Servers are listed in addition to the ordered ones. Orders never stop them.
	Servers []hosting.Server
	// FailureDomains are the failure domains in which servers can be ordered;
	// empty means any.
	FailureDomains []string
	// UncheckedEvery makes every n-th ordered server ignore fencing tokens; 0
	// means none.
	UncheckedEvery int
	// CrashLag is the time until a crashed server is removed from the list and
	// replaced; default 3 s.
	CrashLag time.Duration
	// Freeze permanently stops the traffic on the open connections. FaultFreeze
	// calls it.
	Freeze func()
	// Start starts an ordered server. If nil, orders only change the server list.
	Start Starter
	// WeightLoadsPerSecond limits the rate of weight-store requests; default 1.
	WeightLoadsPerSecond float64
	// WeightBurst is the burst size of that limit; default 2.
	WeightBurst int
}

// Starter starts a server and returns its base URL and a function that stops
// it. It is called with the server list locked, so it must not block for long.
type Starter func(server hosting.Server) (url string, stop func(), err error)

// Defaults of the Config fields.
const (
	DefaultAppendsPerSecond = 500
	DefaultLeadTime         = 2 * time.Second
	DefaultStopNotice       = 30 * time.Second
	DefaultEvictNotice      = 5 * time.Second
	DefaultCrashLag         = 3 * time.Second
	DefaultWeightLoads      = 1
	DefaultWeightBurst      = 2
)

func (c Config) withDefaults() Config {
	setDefault(&c.AppendsPerSecond, DefaultAppendsPerSecond)
	setDefault(&c.LeadTime, DefaultLeadTime)
	setDefault(&c.StopNotice, DefaultStopNotice)
	setDefault(&c.EvictNotice, DefaultEvictNotice)
	setDefault(&c.CrashLag, DefaultCrashLag)
	setDefault(&c.WeightLoadsPerSecond, DefaultWeightLoads)
	setDefault(&c.WeightBurst, DefaultWeightBurst)
	return c
}

// setDefault sets a value to the fallback if it is zero.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Fault kinds of POST /faults. The target is a call name (append, read, orders,
// usage, servers, vms or weights) unless the kind says otherwise.
const (
	// FaultDelay delays a call by delay_ms before it takes effect.
	FaultDelay = "delay"
	// FaultLoseAnswer executes a call and closes the connection without an answer.
	FaultLoseAnswer = "lose_answer"
	// FaultOutage answers a call with status 503 without executing it. The target
	// "log" affects appends and reads.
	FaultOutage = "outage"
	// FaultHang accepts a call, but neither executes nor answers it.
	FaultHang = "hang"
	// FaultTrim removes the records with offsets below value. The target is a log
	// stream; empty means all streams. It takes effect once, when it is injected.
	FaultTrim = "trim"
	// FaultAppendLate answers an append with status 503 and stores it delay_ms
	// later. The target is a log stream.
	FaultAppendLate = "append_late"
	// FaultAppendTwice stores an append twice. The target is a log stream.
	FaultAppendTwice = "append_twice"
	// FaultIgnoreFence accepts a stale fencing token. The target is orders or
	// usage.
	FaultIgnoreFence = "ignore_fence"
	// FaultNoEffect answers an order or usage report with success without
	// executing it. The target is orders or usage.
	FaultNoEffect = "no_effect"
	// FaultEvict evicts the cheap servers with a notice of delay_ms, or
	// Config.EvictNotice if that is 0. The target is a failure domain; empty means
	// all. It takes effect once, when it is injected.
	FaultEvict = "evict"
	// FaultFreeze permanently stops the traffic on all open connections; later
	// connections work. It takes effect once, when it is injected.
	FaultFreeze = "freeze"
	// FaultNoCheap makes the platform start no cheap servers. The target is a
	// failure domain.
	FaultNoCheap = "no_cheap"
)
