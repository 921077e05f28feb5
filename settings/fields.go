package settings

import "time"

// Settings holds the settings of one daemon. In the file, durations are strings
// such as "2s".
type Settings struct {
	// Process identifies the daemon and its location.
	Process Process `json:"process"`
	// Clients configures the client side of the daemon.
	Clients Clients `json:"clients"`
	// Peers configures the connections between daemons.
	Peers Peers `json:"peers"`
	// Platform holds the URL of the platform and the checks that it makes.
	Platform Platform `json:"platform"`
	// Log holds the parameters of the platform's log.
	Log Log `json:"log"`
	// Lease holds the timing of all leases. The values must be equal on all
	// daemons.
	Lease Lease `json:"lease"`
	// Config configures the customer table.
	Config Config `json:"config"`
	// Usage configures usage reports.
	Usage Usage `json:"usage"`
	// Events configures the daemon's own log and event file.
	Events Events `json:"events"`
}

// Process identifies the daemon and its location.
type Process struct {
	// VM is the id of the daemon's VM in the platform's VM list. The incarnation
	// of a process consists of the VM id and the start time. Allowed are letters,
	// digits, "-" and "_". Unit: text. Default: none, required.
	VM string `json:"vm"`
	// FailureDomain is the failure domain of the VM. Unit: text. Default: none,
	// required.
	FailureDomain string `json:"failure_domain"`
	// Region is the region of the VM. Unit: text. Default: none, required.
	Region string `json:"region"`
	// DrainGrace is the time for which a daemon still accepts requests at a
	// planned stop after /readyz has turned false, so that load balancers can
	// remove it first. Unit: duration. Default: 5s.
	DrainGrace time.Duration `json:"drain_grace"`
}

// Clients configures the client side of the daemon.
type Clients struct {
	// Listen is the TCP address for clients. Unit: IP:port. Default: none,
	// required.
	Listen string `json:"listen"`
	// TLSCert is the file with the PEM certificate chain for clients. Without it,
	// clients are served in plain text. Unit: path. Default: none.
	TLSCert string `json:"tls_cert"`
	// TLSKey is the file with the PEM key for tls_cert. Unit: path. Default: none.
	TLSKey string `json:"tls_key"`
	// BodyLimit is the maximum size of a request body. Unit: bytes. Default:
	// 8388608.
	BodyLimit int64 `json:"body_limit_bytes"`
	// HeaderTimeout is the time limit for reading the headers of a request. Unit:
	// duration. Default: 5s.
	HeaderTimeout time.Duration `json:"header_timeout"`
	// BodyTimeout is the time limit for reading a request body. Unit: duration.
	// Default: 30s.
	BodyTimeout time.Duration `json:"body_timeout"`
	// RetryBudget is the share of requests that may be retried on another
	// backend server. Unit: fraction from 0 to 1. Default: 0.1.
	RetryBudget float64 `json:"retry_budget"`
	// InteractiveDeadline is the time to the first token of interactive requests
	// that set no deadline. Unit: duration. Default: 1.2s.
	InteractiveDeadline time.Duration `json:"interactive_deadline"`
	// BatchDeadline is the time to the first token of batch requests that set no
	// deadline. Unit: duration. Default: 1m0s.
	BatchDeadline time.Duration `json:"batch_deadline"`
}

// Peers configures the connections between daemons. The peers themselves come
// from the platform's VM list.
type Peers struct {
	// Listen is the UDP address for QUIC connections from other daemons. The VM
	// list must contain the same address. Unit: IP:port. Default: none, required.
	Listen string `json:"listen"`
	// CA is the file with the PEM certificate of the authority that signs all
	// peer certificates. Unit: path. Default: none, required.
	CA string `json:"ca"`
	// Cert is the file with the PEM certificate of this daemon. Unit: path.
	// Default: none, required.
	Cert string `json:"cert"`
	// Key is the file with the PEM key for cert. Unit: path. Default: none,
	// required.
	Key string `json:"key"`
	// HeartbeatInterval is the time between two heartbeats to a peer. Unit:
	// duration. Default: 500ms.
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// HeartbeatTimeout is the time without a heartbeat after which a peer is
	// treated as failed for routing. Unit: duration. Default: 2s.
	HeartbeatTimeout time.Duration `json:"heartbeat_timeout"`
}

// Platform holds the URL of the platform and the checks that it makes.
type Platform struct {
	// URL is the base URL of the platform's interfaces. Unit: http or https URL.
	// Default: none, required.
	URL string `json:"url"`
	// OrdersCheckFence is true if the platform rejects server orders with an
	// outdated fencing token. Unit: true or false. Default: false.
	OrdersCheckFence bool `json:"orders_check_fence"`
	// UsageChecksFence is true if the platform rejects usage reports with an
	// outdated fencing token. Unit: true or false. Default: false.
	UsageChecksFence bool `json:"usage_checks_fence"`
}

// Log holds the parameters of the platform's log.
type Log struct {
	// Retention is the time for which the platform keeps log records. Checkpoints
	// are written four times in this time. Unit: duration. Default: 1h0m0s.
	Retention time.Duration `json:"retention"`
}

// Lease holds the timing of all leases. The values must be equal on all daemons.
type Lease struct {
	// Duration is the time from the last renewal of a lease to its expiry. Unit:
	// duration. Default: 6s.
	Duration time.Duration `json:"duration"`
	// Renew is the time between two renewals. Unit: duration. Default: 2s.
	Renew time.Duration `json:"renew"`
	// Margin is the safety margin of a lease: the holder stops using it this much
	// before its expiry, and a challenger waits this much longer before a
	// takeover. Unit: duration. Default: 1s.
	Margin time.Duration `json:"margin"`
}

// Config configures the use of the customer table.
type Config struct {
	// WithdrawalBound is the maximum age of the proof of the log's head with which
	// requests that need a key are served. Unit: duration. Default: 2s.
	WithdrawalBound time.Duration `json:"withdrawal_bound"`
}

// Usage configures usage reports.
type Usage struct {
	// Window is the length of a usage window. It must be equal on all daemons.
	// Unit: duration of whole seconds. Default: 1m0s.
	Window time.Duration `json:"window"`
}

// Events configures the daemon's own log and event file.
type Events struct {
	// File is the file to which one JSON line per event is appended for the
	// timeline. Without it, no event file is written. Unit: path. Default: none.
	File string `json:"file"`
	// LogLevel is the lowest level of the messages in the log. Unit: debug, info,
	// warn or error. Default: info.
	LogLevel string `json:"log_level"`
}

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	return Settings{
		Process: Process{DrainGrace: 5 * time.Second},
		Clients: Clients{
			BodyLimit:           8 << 20,
			HeaderTimeout:       5 * time.Second,
			BodyTimeout:         30 * time.Second,
			RetryBudget:         0.1,
			InteractiveDeadline: 1200 * time.Millisecond,
			BatchDeadline:       time.Minute,
		},
		Peers:  Peers{HeartbeatInterval: 500 * time.Millisecond, HeartbeatTimeout: 2 * time.Second},
		Log:    Log{Retention: time.Hour},
		Lease:  Lease{Duration: 6 * time.Second, Renew: 2 * time.Second, Margin: time.Second},
		Config: Config{WithdrawalBound: 2 * time.Second},
		Usage:  Usage{Window: time.Minute},
		Events: Events{LogLevel: "info"},
	}
}
