package pool

import "time"

const (
	// MaxRunners bounds the runners of one pool; larger sets are split into
	// shards.
	MaxRunners = 32
	// MaxTokens bounds every token count received from other processes. Larger and
	// negative counts are errors of the sender and are clamped.
	MaxTokens = 4 << 20
	// maxBlocks bounds the prefix blocks of one request that are looked up or
	// stored.
	maxBlocks = 256
)

// Switches enable the mechanisms of the policy one by one, so that the effect of
// each can be measured separately.
type Switches struct {
	// PrefixAffinity prefers runners whose KV cache holds the prompt's prefix.
	PrefixAffinity bool
	// BoundedLoad disables prefix affinity for runners whose load is more than
	// Config.LoadBound times the mean.
	BoundedLoad bool
	// FairQueueing orders waiting requests by weighted fair share; otherwise
	// by arrival.
	FairQueueing bool
	// Queueing makes requests wait while all runners are at their bounds;
	// otherwise every request is placed at once.
	Queueing bool
	// Refusal refuses requests that are predicted to miss their deadline.
	Refusal bool
	// Priorities lets interactive work go before batch work.
	Priorities bool
	// Transfer uses KV cache transfer between runners where it is cheaper.
	Transfer bool
	// Corrections includes load reports in the predicted wait.
	Corrections bool
	// Urgency orders the requests of a customer, and within the fair share those of
	// all customers, by the time that is left until their objective and by rank.
	Urgency bool
	// Learning updates the latency predictors from observed progress.
	Learning bool
	// ExpectedAnswers expects the length of answers per kind of request instead of per
	// customer.
	ExpectedAnswers bool
}

// Config holds the parameters of a pool. DefaultConfig returns the defaults.
type Config struct {
	Switches
	Policy Policy
	// GrantTTL is the time after which a ticket without progress ends.
	GrantTTL time.Duration
	// RunnerTimeout is the time without reports after which a runner gets no
	// grants; 0 disables it, for runners that send no reports.
	RunnerTimeout time.Duration
	// PrefillWait bounds the predicted wait behind the prefill of other requests
	// on a runner.
	PrefillWait time.Duration
	// BetweenTokens bounds the predicted time between tokens on a runner.
	BetweenTokens time.Duration
	// MaxOpen bounds the open tickets of one runner.
	MaxOpen int
	// MaxQueued bounds the waiting requests per runner of the pool.
	MaxQueued int
	// DefaultKV is the KV memory in tokens that is assumed of a runner whose
	// memory is not known yet.
	DefaultKV int
	// KVFill is the share of a runner's KV memory that grants may fill.
	KVFill float64
	// LoadBound is the multiple of the mean load up to which a runner gets the
	// prefix affinity credit.
	LoadBound float64
	// CatchUp is the period of unused share that a customer may make up for
	// later. Without it a small customer, whose requests come in bursts relative
	// to its share, is refused more often than a large one.
	CatchUp time.Duration
	// BatchFloor is the share of the granted tokens that batch work gets while
	// both priorities wait.
	BatchFloor float64
	// BatchFill is the share of a runner's bounds up to which batch work beyond
	// BatchFloor may be placed.
	BatchFill float64
	// CorrectionBound is the share of PrefillWait by which a load report may
	// increase the predicted wait.
	CorrectionBound float64
	// TransferRate is the KV transfer rate in tokens per second. TransferDelay is
	// the fixed time of a transfer.
	TransferRate  float64
	TransferDelay time.Duration
	// PrefillRate is the prefill rate in tokens per second that is assumed of a
	// runner until it has been observed.
	PrefillRate float64
	// DecodePrefills lets decode runners prefill prompts themselves,
	// DecodePrefillFactor times slower than other runners.
	DecodePrefills      bool
	DecodePrefillFactor float64
	// CrossDomainCost is the scoring penalty of a runner outside the request's
	// failure domain, in seconds of delay.
	CrossDomainCost float64
	// DownFor is the time after RunnerDown for which a runner gets no work unless
	// it reports earlier; 0 means until it reports.
	DownFor time.Duration
	// PrefixBlocks bounds the blocks in the prefix index.
	PrefixBlocks int
	// NoRunnerRetry is the Retry-After value while no runner can serve: the
	// time that a replacement server takes to start.
	NoRunnerRetry time.Duration
}

// DefaultConfig returns the default policy with all mechanisms enabled.
func DefaultConfig() Config {
	return Config{
		Switches: Switches{
			PrefixAffinity: true, BoundedLoad: true, FairQueueing: true, Queueing: true,
			Refusal: true, Priorities: true, Transfer: true, Corrections: true, Learning: true,
		},
		Policy:          DefaultPolicy(),
		GrantTTL:        5 * time.Second,
		RunnerTimeout:   3 * time.Second,
		PrefillWait:     300 * time.Millisecond,
		BetweenTokens:   35 * time.Millisecond,
		MaxOpen:         256,
		MaxQueued:       64,
		DefaultKV:       128 << 10,
		KVFill:          0.95,
		LoadBound:       1.25,
		CatchUp:         time.Second,
		BatchFloor:      0.10,
		BatchFill:       0.70,
		CorrectionBound: 0.25,
		TransferRate:    200_000,
		TransferDelay:   5 * time.Millisecond,
		PrefillRate:     8000,
		PrefixBlocks:    1 << 16,
		NoRunnerRetry:   30 * time.Second,
	}
}

// decodePrefillFactor returns the factor by which a decode runner prefills slower
// than other runners.
func (c *Config) decodePrefillFactor() float64 {
	if !c.DecodePrefills {
		return 1
	}
	return max(c.DecodePrefillFactor, 1)
}
