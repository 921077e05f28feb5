package settings

import (
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/strictjson"
)

const (
	// clockRateBound is the assumed maximum difference between the rates of two
	// clocks. A challenger extends its wait for a lease by this factor.
	clockRateBound = 0.01
	// maxWithdrawalBound is the maximum of the setting withdrawal_bound, because a
	// withdrawn key must stop working within 3 s.
	maxWithdrawalBound = 3 * time.Second
	maxBodyLimit       = 1 << 30
	minRetention       = time.Minute
)

// idPattern excludes the dot, which separates the VM from the start time in an
// incarnation, and the slash, which separates the parts of a log subject.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects the problems of one settings file.
type checker struct {
	*strictjson.Document
}

func (s *Settings) validate(document *strictjson.Document) {
	c := checker{document}
	s.validateProcess(c)
	s.validateClients(c)
	s.validatePeers(c)
	s.validatePlatform(c)
	s.validateTimes(c)
	if !slices.Contains(logLevels, s.Events.LogLevel) {
		c.Report("events.log_level", "%q is none of %v", s.Events.LogLevel, logLevels)
	}
}

func (s *Settings) validateProcess(c checker) {
	c.id("process.vm", s.Process.VM)
	c.id("process.failure_domain", s.Process.FailureDomain)
	c.id("process.region", s.Process.Region)
	c.atLeast("process.drain_grace", s.Process.DrainGrace, 0)
}

func (s *Settings) validateClients(c checker) {
	c.address("clients.listen", s.Clients.Listen)
	if (s.Clients.TLSCert == "") != (s.Clients.TLSKey == "") {
		c.Report("clients.tls_cert", "tls_cert and tls_key must be given together")
	}
	if s.Clients.BodyLimit < 1 || s.Clients.BodyLimit > maxBodyLimit {
		c.Report("clients.body_limit_bytes", "must be from 1 to %d bytes", maxBodyLimit)
	}
	if !(s.Clients.RetryBudget >= 0 && s.Clients.RetryBudget <= 1) {
		c.Report("clients.retry_budget", "must be from 0 to 1")
	}
	c.positive("clients.header_timeout", s.Clients.HeaderTimeout)
	c.positive("clients.body_timeout", s.Clients.BodyTimeout)
	c.positive("clients.interactive_deadline", s.Clients.InteractiveDeadline)
	c.positive("clients.batch_deadline", s.Clients.BatchDeadline)
}

func (s *Settings) validatePeers(c checker) {
	c.address("peers.listen", s.Peers.Listen)
	c.required("peers.ca", s.Peers.CA)
	c.required("peers.cert", s.Peers.Cert)
	c.required("peers.key", s.Peers.Key)
	c.positive("peers.heartbeat_interval", s.Peers.HeartbeatInterval)
	// A single lost heartbeat must not mark a peer as failed.
	c.atLeast("peers.heartbeat_timeout", s.Peers.HeartbeatTimeout, double(s.Peers.HeartbeatInterval))
}

func (s *Settings) validatePlatform(c checker) {
	parsed, err := url.Parse(s.Platform.URL)
	switch {
	case s.Platform.URL == "":
		c.Report("platform.url", "is required")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		c.Report("platform.url", "%q is not an http or https URL", s.Platform.URL)
	}
}

func (s *Settings) validateTimes(c checker) {
	c.atLeast("log.retention", s.Log.Retention, minRetention)
	c.positive("lease.renew", s.Lease.Renew)
	// With a margin below the clock error over one lease, the terms of two holders
	// could overlap.
	c.atLeast("lease.margin", s.Lease.Margin, time.Duration(clockRateBound*float64(s.Lease.Duration)))
	// A holder must have time for a second renewal if the first one is lost.
	c.atLeast("lease.duration", s.Lease.Duration, add(double(s.Lease.Renew), s.Lease.Margin))
	c.positive("config.withdrawal_bound", s.Config.WithdrawalBound)
	if s.Config.WithdrawalBound > maxWithdrawalBound {
		c.Report("config.withdrawal_bound", "must be at most %s", maxWithdrawalBound)
	}
	// Heartbeats carry the proof of the log's head, so a bound below their
	// interval could not be met.
	c.atLeast("config.withdrawal_bound", s.Config.WithdrawalBound, s.Peers.HeartbeatInterval)
	if s.Usage.Window < time.Second || s.Usage.Window%time.Second != 0 {
		c.Report("usage.window", "must be a whole number of seconds")
	}
}

func (c checker) required(name, value string) {
	if value == "" {
		c.Report(name, "is required")
	}
}

func (c checker) id(name, value string) {
	switch {
	case value == "":
		c.Report(name, "is required")
	case !idPattern.MatchString(value):
		c.Report(name, "%q must consist of up to 63 letters, digits, - and _", value)
	}
}

func (c checker) address(name, value string) {
	if value == "" {
		c.Report(name, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Report(name, "%q is not an address of the form IP:port", value)
	}
}

func (c checker) positive(name string, value time.Duration) {
	if value <= 0 {
		c.Report(name, "must be positive")
	}
}

func (c checker) atLeast(name string, value, minimum time.Duration) {
	if value < minimum {
		c.Report(name, "%s is below the minimum of %s", value, minimum)
	}
}

// double and add saturate at the maximum, so that huge values are rejected
// instead of overflowing.
func double(d time.Duration) time.Duration { return add(d, d) }

func add(a, b time.Duration) time.Duration {
	if a > 0 && b > math.MaxInt64-a {
		return math.MaxInt64
	}
	return a + b
}
