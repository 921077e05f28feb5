// Package engine implements a stand-in for an LLM inference engine. Core
// simulates continuous batching without clock, I/O or goroutines, so it can run
// in virtual time. Server wraps a Core and serves the engine protocol over
// HTTP.
package engine

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Config sets the speed and capacity of an engine. Default returns usable
// values.
type Config struct {
	// ID names the engine in its reports.
	ID string
	// Model is loaded at the start.
	Model string
	// Version and Adapters are the version and the adapters of Model at the start;
	// empty means none.
	Version  string
	Adapters []string
	// Models are the models that load orders may name; empty means any.
	Models []string
	// Role is the role at the start; empty means mixed.
	Role backend.Role

	// StepTokens is the maximum number of tokens, prefill and decode together,
	// that one step computes.
	StepTokens int
	// MaxBatch is the maximum number of sequences in the batch.
	MaxBatch int
	// MaxWaiting is the maximum number of requests that wait for a place in the
	// batch; further requests are refused.
	MaxWaiting int
	// StepBase is the fixed time of a step.
	StepBase time.Duration
	// PerPrefillToken is the time that each prefill token adds to a step.
	PerPrefillToken time.Duration
	// PerSequence is the time that each decoding sequence adds to a step.
	PerSequence time.Duration
	// PerContextToken is the time that each context token of a decoding sequence
	// adds to a step, for reading its KV data.
	PerContextToken time.Duration

	// KVTokens is the size of the KV memory in tokens. Running sequences and
	// cached prefixes share it.
	KVTokens int
	// TransferTokensPerSecond is the bandwidth of KV export and import in tokens
	// per second.
	TransferTokensPerSecond int
	// RoleChange is the time for which a role change makes the engine
	// unavailable.
	RoleChange time.Duration
	// ModelLoad is the time for which loading a model makes the engine
	// unavailable.
	ModelLoad time.Duration

	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// CacheLag is the delay after which cache events are published.
	CacheLag time.Duration
	// CacheGapEvery omits every n-th cache event; 0 omits none. Readers can detect
	// the gap by the sequence numbers.
	CacheGapEvery int
}

// Default returns the configuration of an engine that reaches about 35,000
// tokens/s of prefill and, with a full batch, 3,500 tokens/s of decode.
func Default(id, model string) Config {
	return Config{
		ID:                      id,
		Model:                   model,
		Role:                    backend.RoleMixed,
		StepTokens:              512,
		MaxBatch:                64,
		MaxWaiting:              256,
		StepBase:                6 * time.Millisecond,
		PerPrefillToken:         20 * time.Microsecond,
		PerSequence:             120 * time.Microsecond,
		PerContextToken:         50 * time.Nanosecond,
		KVTokens:                200_000,
		TransferTokensPerSecond: 400_000,
		RoleChange:              4 * time.Second,
		ModelLoad:               8 * time.Second,
		LoadLag:                 500 * time.Millisecond,
		CacheLag:                time.Second,
		CacheGapEvery:           50,
	}
}

const (
	// prefillRoleTokenFactor multiplies the step budget of a prefill engine. Long
	// steps spread the fixed step time over more tokens.
	prefillRoleTokenFactor = 8
	// prefillRoleMaxDecodes limits the sequences that a prefill engine decodes per
	// step.
	prefillRoleMaxDecodes = 4
	// decodeRoleMaxPrefill limits the prefill tokens in a step of a decode engine,
	// to keep its steps short.
	decodeRoleMaxPrefill = 64
)

// budget returns the limits of one step for a role: the number of tokens, how
// many of them may be prefill, and the number of decoding sequences.
func (c Config) budget(role backend.Role) (tokens, prefill, decodes int) {
	switch role {
	case backend.RolePrefill:
		tokens = c.StepTokens * prefillRoleTokenFactor
		return tokens, tokens, prefillRoleMaxDecodes
	case backend.RoleDecode:
		return c.StepTokens, min(decodeRoleMaxPrefill, c.StepTokens), c.MaxBatch
	default:
		return c.StepTokens, c.StepTokens, c.MaxBatch
	}
}
