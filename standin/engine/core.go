package engine

import (
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// Priority is the scheduling priority of a request. Higher values run first.
type Priority int

// The priorities, lowest first.
const (
	PriorityBatch Priority = iota
	PriorityInteractive
)

// Request is a completion request to the Core.
type Request struct {
	// Key identifies the request in events; it must be unique.
	Key string
	// Model must be the loaded model or one of its adapters.
	Model string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the length of the whole answer in tokens, including the
	// tokens before ResumeFrom.
	OutputTokens int
	// ResumeFrom is the position of the first token to generate. The tokens
	// before it are prefilled together with the prompt.
	ResumeFrom int
	// Blocks are the hashes of the full KV blocks of the prompt.
	Blocks   []uint64
	Priority Priority
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventTokens: Count tokens were generated, starting at Position.
	EventTokens EventKind = "tokens"
	// EventDone: the request is complete.
	EventDone EventKind = "done"
	// EventAborted: the engine aborted the request.
	EventAborted EventKind = "aborted"
	// EventChanged: the role change or model load identified by Key has ended.
	EventChanged EventKind = "changed"
	// EventTransferred: the KV transfer identified by Key has ended.
	EventTransferred EventKind = "transferred"
)

// Event reports progress of a request, change or transfer.
type Event struct {
	At   time.Time
	Kind EventKind
	Key  string
	// Position and Count describe the tokens of EventTokens.
	Position, Count int
	// CachedTokens is the number of prompt tokens that came from the prefix
	// cache. It is set in EventDone.
	CachedTokens int
	// Blocks are the blocks that an EventTransferred moved.
	Blocks []uint64
}

// RefusedError is the reason why the core refused a request or change. Its
// value is the error code of the engine protocol.
type RefusedError string

func (e RefusedError) Error() string { return "engine refused: " + string(e) }

// The reasons for a refusal. A refused request or change has no effect.
const (
	RefusedChanging     RefusedError = "changing"
	RefusedDraining     RefusedError = "draining"
	RefusedUnknownModel RefusedError = "unknown_model"
	RefusedFull         RefusedError = "full"
	RefusedTooLong      RefusedError = "too_long"
	RefusedBusy         RefusedError = "busy"
)

// sequence is the state of a waiting or running request.
type sequence struct {
	Request
	// arrival is the arrival number, which orders requests of equal priority.
	arrival uint64
	// context is the number of tokens whose KV data is in memory.
	context int
	// contextNeeded is the number of context tokens that the next output token
	// requires.
	contextNeeded int
	// position is the position of the next output token.
	position int
	// cachedBlocks are the leading blocks of the prompt that are in the prefix
	// cache and that this sequence references.
	cachedBlocks []uint64
	// cachedTokens is the number of prompt tokens that were in the prefix cache on
	// admission.
	cachedTokens int
}

func (s *sequence) prefilling() bool { return s.context < s.contextNeeded }

// privateTokens returns the number of tokens of KV memory that the sequence
// uses outside the prefix cache.
func (s *sequence) privateTokens() int {
	return s.context - len(s.cachedBlocks)*backend.PrefixBlockTokens
}

// Core simulates an engine with continuous batching. The time argument of its
// calls must never decrease. It is not safe for concurrent use.
//
// Invariants: the KV memory in use never exceeds Config.KVTokens; a step has at
// most the token budget of the role; the tokens of a request are emitted in
// order and exactly once.
type Core struct {
	config Config
	loaded loadedModel
	role   backend.Role
	drain  bool

	now     time.Time
	waiting []*sequence
	running []*sequence
	// arrivals counts the accepted requests.
	arrivals uint64
	cache    *prefixCache
	// privateUsed is the KV memory in use outside the prefix cache, in tokens. It
	// includes what the running step has reserved.
	privateUsed int
	step        *step
	change      *pendingChange
	// transfers holds the KV transfers in order; the first one is running.
	transfers []*transfer
	events    []Event
	reports   reports
	// slowdown multiplies the step time; 1 is the configured speed.
	slowdown float64
}

// step is the step being computed. All its results appear at the end.
type step struct {
	endsAt  time.Time
	decode  []*sequence
	prefill []prefillChunk
}

// prefillChunk is a part of a sequence's prefill that is computed in one step.
type prefillChunk struct {
	seq    *sequence
	tokens int
}

// NewCore returns an idle engine at time now.
func NewCore(config Config, now time.Time) *Core {
	if config.Role == "" {
		config.Role = backend.RoleMixed
	}
	core := &Core{config: config, loaded: loadedModel{model: config.Model, version: config.Version, adapters: slices.Clone(config.Adapters)}, role: config.Role, now: now, slowdown: 1}
	core.cache = newPrefixCache(core.recordCacheEvent)
	core.recordLoad()
	return core
}

// Submit adds a request. The error is a RefusedError if the request is refused.
func (c *Core) Submit(now time.Time, request Request) error {
	c.advance(now)
	switch {
	case c.change != nil:
		return RefusedChanging
	case c.drain:
		return RefusedDraining
	case !c.loaded.serves(request.Model):
		return RefusedUnknownModel
	case request.PromptTokens+request.OutputTokens > c.config.KVTokens:
		return RefusedTooLong
	case len(c.waiting) >= c.config.MaxWaiting:
		return RefusedFull
	}
	c.arrivals++
	seq := &sequence{Request: request, arrival: c.arrivals, position: request.ResumeFrom}
	seq.contextNeeded = request.PromptTokens + request.ResumeFrom
	c.waiting = append(c.waiting, seq)
	c.startStep()
	c.recordLoad()
	return nil
}

// Cancel removes a request and frees its memory. It returns false if no such
// request is waiting or running.
func (c *Core) Cancel(now time.Time, key string) bool {
	c.advance(now)
	matches := func(s *sequence) bool { return s.Key == key }
	if i := slices.IndexFunc(c.waiting, matches); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.recordLoad()
		return true
	}
	i := slices.IndexFunc(c.running, matches)
	if i < 0 {
		return false
	}
	c.removeRunning(c.running[i])
	c.recordLoad()
	return true
}

// SetSlowdown sets the factor that multiplies the duration of later steps.
func (c *Core) SetSlowdown(factor float64) { c.slowdown = factor }

// Advance runs the engine up to now and returns the events since the last call.
func (c *Core) Advance(now time.Time) []Event {
	c.advance(now)
	events := c.events
	c.events = nil
	return events
}

// Next returns the time at which the running step, change or transfer ends,
// whichever is first. It returns the zero time if the engine is idle.
func (c *Core) Next() time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if c.step != nil {
		earliest(c.step.endsAt)
	}
	if c.change != nil {
		earliest(c.change.endsAt)
	}
	if len(c.transfers) > 0 {
		earliest(c.transfers[0].endsAt)
	}
	return next
}

func (c *Core) advance(now time.Time) {
	for {
		next := c.Next()
		if next.IsZero() || next.After(now) {
			break
		}
		c.now = next
		c.endStep()
		c.endChange()
		c.endTransfers()
		c.startStep()
		c.recordLoad()
	}
	if now.After(c.now) {
		c.now = now
	}
}

// startStep starts a step if there is work and neither a step nor a change is
// running.
func (c *Core) startStep() {
	if c.step != nil || c.change != nil {
		return
	}
	c.admit()
	c.step = &step{}
	c.planStep(c.step)
	if len(c.step.decode)+len(c.step.prefill) == 0 {
		c.step = nil
		return
	}
	c.step.endsAt = c.now.Add(c.stepTime(c.step))
}

// planStep selects the tokens of the next step: one per decoding sequence, then
// prefill chunks from the rest of the budget. It reserves their memory and may
// preempt sequences for it, including ones already selected.
func (c *Core) planStep(batch *step) {
	tokens, prefill, decodes := c.config.budget(c.role)
	for _, seq := range slices.Clone(c.running) {
		decoding := !seq.prefilling() && len(batch.decode) < decodes && tokens > 0
		if !decoding || !slices.Contains(c.running, seq) || !c.makeRoom(1, seq) {
			continue
		}
		c.privateUsed++
		batch.decode = append(batch.decode, seq)
		tokens--
	}
	prefill = min(prefill, tokens)
	for _, seq := range slices.Clone(c.running) {
		if !seq.prefilling() || prefill == 0 || !slices.Contains(c.running, seq) {
			continue
		}
		chunk := min(prefill, seq.contextNeeded-seq.context)
		if !c.makeRoom(chunk, seq) {
			continue
		}
		c.privateUsed += chunk
		batch.prefill = append(batch.prefill, prefillChunk{seq, chunk})
		prefill -= chunk
	}
}

// stepTime returns the duration of a step.
func (c *Core) stepTime(batch *step) time.Duration {
	total := c.config.StepBase
	context := 0
	for _, seq := range batch.decode {
		context += seq.context
	}
	prefill := 0
	for _, chunk := range batch.prefill {
		prefill += chunk.tokens
	}
	total += time.Duration(len(batch.decode)) * c.config.PerSequence
	total += time.Duration(context) * c.config.PerContextToken
	total += time.Duration(prefill) * c.config.PerPrefillToken
	return time.Duration(float64(total) * c.slowdown)
}

// endStep applies the results of the running step if its time has come.
func (c *Core) endStep() {
	if c.step == nil || c.step.endsAt.After(c.now) {
		return
	}
	done := c.step
	c.step = nil
	for _, chunk := range done.prefill {
		chunk.seq.context += chunk.tokens
		c.storeBlocks(chunk.seq)
		if !chunk.seq.prefilling() {
			c.emit(chunk.seq)
		}
	}
	for _, seq := range done.decode {
		seq.context++
		seq.contextNeeded = seq.context
		c.emit(seq)
	}
}

// emit generates the next token of a sequence and completes the sequence after
// the last one.
func (c *Core) emit(seq *sequence) {
	if seq.position < seq.OutputTokens {
		c.events = append(c.events, Event{At: c.now, Kind: EventTokens, Key: seq.Key, Position: seq.position, Count: 1})
		seq.position++
	}
	if seq.position >= seq.OutputTokens {
		c.events = append(c.events, Event{At: c.now, Kind: EventDone, Key: seq.Key, CachedTokens: seq.cachedTokens})
		c.removeRunning(seq)
	}
}
