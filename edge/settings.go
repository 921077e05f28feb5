package edge

import (
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/internal/strictjson"
)

// Settings are the settings of an edge daemon, JSON with comments. Durations
// are strings such as "2s".
type Settings struct {
	// VM names the VM of the daemon. Unit: text. Default: none, required.
	VM string `json:"vm"`
	// FailureDomain is the failure domain of the VM. Unit: text. Default: none,
	// required.
	FailureDomain string `json:"failure_domain"`
	// Clients is the TCP address for clients. Unit: IP:port. Default: none,
	// required.
	Clients string `json:"clients"`
	// Readiness is the TCP address of the readiness check. Unit: IP:port.
	// Default: none, required.
	Readiness string `json:"readiness"`
	// Metrics is the TCP address that serves the metrics under /metrics; empty for
	// none. Unit: IP:port. Default: none.
	Metrics string `json:"metrics"`
	// Peers is the UDP address for other daemons. Unit: IP:port. Default: none,
	// required.
	Peers string `json:"peers"`
	// Store is the TCP address of the platform's store. Unit: IP:port. Default:
	// none, required.
	Store string `json:"store"`
	// Cores is the processor time that the VM gives the daemon. Unit: cores.
	// Default: 1.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory of the VM. A process that exceeds it is killed, so the
	// daemon collects garbage more often as it comes near; 0 for no such bound. Unit: MB.
	// Default: 0.
	MemoryMB float64 `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the VM gives the daemon,
	// which bounds the connections of clients; 0 for the limit of the process. Unit:
	// descriptors. Default: 0.
	MaxDescriptors int `json:"max_descriptors"`
	// StopGrace is the time from a request to stop until the process is killed.
	// Unit: duration. Default: 8s.
	StopGrace time.Duration `json:"stop_grace"`
	// Retry bounds repeated attempts.
	Retry RetrySettings `json:"retry"`
	// Quarantine withholds requests whose content crashes servers.
	Quarantine QuarantineSettings `json:"quarantine"`
	// Lease is the duration of the lease that selects the daemon that reports usage
	// and orders servers for all daemons. All daemons need equal values. Unit:
	// duration. Default: 3s.
	Lease time.Duration `json:"lease"`
	// Cloud is the TCP address of the platform's interface for usage reports and
	// server orders. Unit: IP:port. Default: none, required.
	Cloud string `json:"cloud"`
	// Usage configures usage reports.
	Usage UsageSettings `json:"usage"`
	// Fleet sets how many engines run and which roles they have.
	Fleet FleetSettings `json:"fleet"`
	// CustomerLimits sets how limits of customers are applied over all daemons.
	CustomerLimits CustomerLimitSettings `json:"customer_limits"`
	// Scheduling sets how requests are ordered and how servers are chosen.
	Scheduling SchedulingSettings `json:"scheduling"`
	// LogLevel is debug, info, warn or error. Unit: text. Default: info.
	LogLevel string `json:"log_level"`
}

// RetrySettings bound the attempts beyond the first one of each request over
// all daemons, for each service.
type RetrySettings struct {
	// Ratio is the number of repeated attempts per request. Unit: attempts.
	// Default: 0.1.
	Ratio float64 `json:"ratio"`
	// Extra is the number of repeated attempts in a window that are allowed
	// regardless of the traffic. Unit: attempts. Default: 10.
	Extra float64 `json:"extra"`
	// Window is the time over which attempts are counted. Unit: duration.
	// Default: 10s.
	Window time.Duration `json:"window"`
}

// QuarantineSettings configure which requests are withheld because they, or a part of
// their prompt, crash servers.
type QuarantineSettings struct {
	// Crashes is the number of servers that end under requests with a part of a
	// prompt before requests with it are refused; 0 refuses none. Unit: servers.
	// Default: 4.
	Crashes int `json:"crashes"`
	// RequestCrashes is the number of servers that end under requests of one customer with
	// the same method, host, path, query and body before repeats of it are refused; 0
	// refuses none. Unit: servers. Default: 3.
	RequestCrashes int `json:"request_crashes"`
	// For is the time for which they are refused. After it, a single crash suffices.
	// Unit: duration. Default: 10m0s.
	For time.Duration `json:"for"`
}

// UsageSettings configure usage reports. All daemons need equal values.
type UsageSettings struct {
	// Window is the length of a window. Unit: duration. Default: 1m0s.
	Window time.Duration `json:"window"`
	// Grace is the time from a window's end until its figures are fixed. Unit:
	// duration. Default: 2s.
	Grace time.Duration `json:"grace"`
	// Due is the time from a window's end until its report is due. Unit:
	// duration. Default: 10s.
	Due time.Duration `json:"due"`
}

// FleetSettings set the number of engines of each service whose servers can be
// ordered, and their roles. Numbers are relative to the number of engines that
// the service had when it was first seen.
type FleetSettings struct {
	// Plan selects how the number of engines is decided: "ratio" keeps on_demand and
	// cheap, "demand" follows the load. All daemons need equal values. Unit: text.
	// Default: ratio.
	Plan string `json:"plan"`
	// LostCost is what a refused request costs in the plan "demand"; a late one costs
	// half of it. Unit: seconds of a server of price 1. Default: 2.
	LostCost float64 `json:"lost_cost"`
	// OnDemand is the number of engines on on-demand servers, which can't be
	// evicted. If this and cheap are 0, no servers are ordered. Unit: ratio.
	// Default: 0.22.
	OnDemand float64 `json:"on_demand"`
	// Cheap is the number of engines on cheap servers, which may be evicted. Unit:
	// ratio. Default: 1.8.
	Cheap float64 `json:"cheap"`
	// Floor is the least number of engines: on-demand servers make up for missing
	// cheap ones. Unit: ratio. Default: 1.3.
	Floor float64 `json:"floor"`
	// DecodeShare is the share of the engines that have the decode role. Unit:
	// ratio. Default: 0.4.
	DecodeShare float64 `json:"decode_share"`
}

// CustomerLimitSettings set how long a request waits for the daemon that lends the
// limit of its customer.
type CustomerLimitSettings struct {
	// HomeTimeout is the time after which a request that the lending daemon has not
	// answered may use this daemon's equal part of the limit. Unit: duration. Default:
	// 25ms.
	HomeTimeout time.Duration `json:"home_timeout"`
	// MaxWait is the longest time for which a request that the part doesn't cover waits
	// for an answer before it is refused. Unit: duration. Default: 250ms.
	MaxWait time.Duration `json:"max_wait"`
}

// SchedulingSettings set how requests are ordered and how servers are chosen. All
// daemons need equal values.
type SchedulingSettings struct {
	// ExpectedCost chooses servers by the expected time of each request, from the learned
	// work of its kind, the learned speed of the servers and the outstanding work of all
	// daemons; otherwise servers of plain services are chosen by open requests, and the
	// length of answers is expected per customer. Unit: true or false. Default: true.
	ExpectedCost bool `json:"expected_cost"`
	// Urgency orders waiting requests by the time that is left until their objective
	// and by priority, within the fair share of customers; false orders them by fair
	// share and arrival only. Unit: true or false. Default: false.
	Urgency bool `json:"urgency"`
}

// DefaultSettings returns the default settings. Required settings are empty.
func DefaultSettings() Settings {
	return Settings{
		Cores:      1,
		StopGrace:  8 * time.Second,
		Retry:      RetrySettings{Ratio: 0.1, Extra: 10, Window: 10 * time.Second},
		Quarantine: QuarantineSettings{Crashes: 4, RequestCrashes: 3, For: 10 * time.Minute},
		Lease:      3 * time.Second,
		Usage:      UsageSettings{Window: time.Minute, Grace: 2 * time.Second, Due: 10 * time.Second},
		Fleet:      FleetSettings{Plan: planRatio, LostCost: 2, OnDemand: 0.22, Cheap: 1.8, Floor: 1.3, DecodeShare: 0.4},
		Scheduling: SchedulingSettings{ExpectedCost: true},
		LogLevel:   "info",

		CustomerLimits: CustomerLimitSettings{HomeTimeout: 25 * time.Millisecond, MaxWait: 250 * time.Millisecond},
	}
}

// memoryShare is the part of the VM's memory that the Go runtime may use before it
// collects garbage more often. The rest is for the program itself and for what is
// allocated while a collection runs.
const memoryShare = 0.62

// MemoryLimit returns the soft memory limit of the Go runtime in bytes; it is the
// maximum if the settings name no memory.
func (s *Settings) MemoryLimit() int64 {
	if s.MemoryMB <= 0 {
		return math.MaxInt64
	}
	return int64(min(s.MemoryMB*memoryShare*1e6, math.MaxInt64/2))
}

// LoadSettings reads and validates a settings file. The error is
// strictjson.Problems if the file could be read.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes and validates settings. file is used in messages only.
// The error is strictjson.Problems.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	document := strictjson.Decode(file, data, &s)
	if document.Parsed() {
		s.validate(document)
	}
	if err := document.Problems().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) validate(d *strictjson.Document) {
	required := map[string]string{"vm": s.VM, "failure_domain": s.FailureDomain}
	for name, value := range required {
		if value == "" {
			d.Report(name, "is required")
		}
	}
	addresses := map[string]string{"clients": s.Clients, "readiness": s.Readiness, "peers": s.Peers, "store": s.Store, "cloud": s.Cloud}
	if s.Metrics != "" {
		addresses["metrics"] = s.Metrics
	}
	for name, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			d.Report(name, "must be an address IP:port")
		}
	}
	positive := map[string]bool{
		"cores":          s.Cores > 0,
		"stop_grace":     s.StopGrace > 0,
		"retry.window":   s.Retry.Window > 0,
		"quarantine.for": s.Quarantine.For > 0,
		"lease":          s.Lease > 0,
		"usage.window":   s.Usage.Window > 0,
		"usage.grace":    s.Usage.Grace > 0,
		"usage.due":      s.Usage.Due > s.Usage.Grace,

		"customer_limits.home_timeout": s.CustomerLimits.HomeTimeout > 0,
		"customer_limits.max_wait":     s.CustomerLimits.MaxWait > 0,
	}
	for name, ok := range positive {
		if !ok {
			d.Report(name, "must be positive")
		}
	}
	if s.Fleet.Plan != planRatio && s.Fleet.Plan != planDemand {
		d.Report("fleet.plan", "must be ratio or demand")
	}
	if !(s.Fleet.LostCost > 0) {
		d.Report("fleet.lost_cost", "must be positive")
	}
	if s.MemoryMB < 0 {
		d.Report("memory_mb", "must not be negative")
	}
	if s.MaxDescriptors < 0 {
		d.Report("max_descriptors", "must not be negative")
	}
	if s.Retry.Ratio < 0 {
		d.Report("retry.ratio", "must not be negative")
	}
	if s.Quarantine.Crashes < 0 {
		d.Report("quarantine.crashes", "must not be negative")
	}
	if s.Quarantine.RequestCrashes < 0 {
		d.Report("quarantine.request_crashes", "must not be negative")
	}
	if s.Retry.Extra < 0 {
		d.Report("retry.extra", "must not be negative")
	}
}
