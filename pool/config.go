package pool

import "time"

const (
	// MaxRunners bounds the runners of one pool; larger sets are split into
	// shards.
	MaxRunners = 32
	// MaxTokens bounds every token count that is taken from outside. Larger and
	// negative counts are faults of the sender and are cut.
	MaxTokens = 4 << 20
	// maxBlocks bounds the prefix blocks of one request that are looked up.
	maxBlocks = 256
)

// Switches turn the mechanisms of the policy on, so that each can be measured
// alone.
type Switches struct {
	// PrefixAffinity prefers runners that hold the prompt's prefix.
	PrefixAffinity bool
	// BoundedLoad ignores the preference on runners with more than
	// Config.LoadBound times the mean load.
	BoundedLoad bool
	// FairQueueing orders waiting requests by weighted fair share; otherwise
	// by arrival.
	FairQueueing bool
	// Queueing holds requests back while all runners are at their bounds;
	// otherwise every request is placed at once.
	Queueing bool
	// Refusal turns down requests that would miss their deadline.
	Refusal bool
	// Priorities lets batch work yield to interactive work.
	Priorities bool
	// Transfer uses KV transfer between runners where it is cheaper.
	Transfer bool
	// Corrections takes load reports into account.
	Corrections bool
	// Learning adapts the prediction to observed progress.
	Learning bool
}

// Config holds the constants of a pool. DefaultConfig gives the values in use.
type Config struct {
	Switches
	Policy Policy
	// GrantTTL is the time after which a ticket without progress ends.
	GrantTTL time.Duration
	// RunnerTimeout is the silence after which a runner gets no grants; 0 if
	// listed runners make no reports.
	RunnerTimeout time.Duration
	// PrefillWait bounds the predicted wait behind other prompts on a runner.
	PrefillWait time.Duration
	// BetweenTokens bounds the predicted time between tokens on a runner.
	BetweenTokens time.Duration
	// MaxOpen bounds the open tickets of one runner.
	MaxOpen int
	// MaxQueued bounds the waiting requests per runner of the pool.
	MaxQueued int
	// DefaultKV is the KV memory in tokens that is assumed until it is known.
	DefaultKV int
	// KVFill is the share of a runner's KV memory that grants may fill.
	KVFill float64
	// LoadBound is the factor over the mean load up to which prefix affinity
	// counts.
	LoadBound float64
	// CatchUp is the time over which a customer that used less than its share
	// may make up for it. Without it a small customer, whose requests come in
	// bursts relative to its share, is refused more often than a large one.
	CatchUp time.Duration
	// BatchFloor is the share of the tokens that waiting batch work gets.
	BatchFloor float64
	// BatchFill is the share of a runner's bounds that batch work may use
	// beyond its floor.
	BatchFill float64
	// CorrectionBound is the share of PrefillWait by which a load report may
	// change the predicted wait.
	CorrectionBound float64
	// TransferRate is the KV transfer rate in tokens per second, TransferDelay
	// the fixed time of a transfer.
	TransferRate  float64
	TransferDelay time.Duration
	// ReadRate is the rate in prompt tokens per second that is assumed of a
	// runner until it is learned.
	ReadRate float64
	// DecodeReads lets decode runners read prompts themselves, DecodeReadFactor
	// times slower than the others.
	DecodeReads      bool
	DecodeReadFactor float64
	// CrossDomainCost is the price of a request that leaves its failure domain,
	// in seconds of delay.
	CrossDomainCost float64
	// DownFor is the time for which a runner gets no work after RunnerDown unless
	// it is heard; 0 means until it is heard.
	DownFor time.Duration
	// PrefixBlocks bounds the prefix blocks whose placement is remembered.
	PrefixBlocks int
	// NoRunnerRetry is the Retry-After value while no runner can serve: the
	// time that a replacement server takes to start.
	NoRunnerRetry time.Duration
}

// DefaultConfig returns the project's own policy with all mechanisms on.
func DefaultConfig() Config {
	return Config{
		Switches: Switches{
			PrefixAffinity: true, BoundedLoad: true, FairQueueing: true, Queueing: true,
			Refusal: true, Priorities: true, Transfer: true, Corrections: true, Learning: true,
		},
		Policy:          OwnPolicy(),
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
		ReadRate:        8000,
		PrefixBlocks:    1 << 16,
		NoRunnerRetry:   30 * time.Second,
	}
}

// decodeReadFactor is how much slower a decode runner reads a prompt.
func (c *Config) decodeReadFactor() float64 {
	if !c.DecodeReads {
		return 1
	}
	return max(c.DecodeReadFactor, 1)
}
