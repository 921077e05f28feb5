package engine

import (
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

// pendingChange is a role change or model load in progress.
type pendingChange struct {
	key    string
	endsAt time.Time
	role   backend.Role
	loaded loadedModel
}

// loadedModel describes the loaded model: its name, version and adapters. An
// empty name means that none is loaded.
type loadedModel struct {
	model    string
	version  string
	adapters []string
}

func (w loadedModel) serves(model string) bool {
	return model != "" && (model == w.model || slices.Contains(w.adapters, model))
}

// names returns the model names that requests may use: the model and its
// adapters.
func (w loadedModel) names() []string {
	if w.model == "" {
		return nil
	}
	return append([]string{w.model}, w.adapters...)
}

// transfer is a KV export or import.
type transfer struct {
	key    string
	endsAt time.Time
	blocks []uint64
	// inbound is true for an import: the blocks are cached when it ends.
	inbound bool
}

// SetRole starts a role change. The engine aborts all requests, clears its
// prefix cache and refuses work until the EventChanged with this key. If the
// role is already set, the event is immediate and nothing is aborted.
func (c *Core) SetRole(now time.Time, key string, role backend.Role) error {
	c.advance(now)
	if c.change != nil {
		return RefusedBusy
	}
	if role == c.role {
		c.events = append(c.events, Event{At: c.now, Kind: EventChanged, Key: key})
		return nil
	}
	c.startChange(&pendingChange{key: key, endsAt: c.now.Add(c.config.RoleChange), role: role, loaded: c.loaded})
	return nil
}

// LoadModel starts to load a version of a model, which replaces the loaded one.
// The effects and the EventChanged are those of SetRole. If that version, or
// any version if version is empty, is already loaded, nothing is aborted.
func (c *Core) LoadModel(now time.Time, key, model, version string) error {
	c.advance(now)
	if c.change != nil {
		return RefusedBusy
	}
	if model == c.loaded.model && (version == "" || version == c.loaded.version) {
		c.events = append(c.events, Event{At: c.now, Kind: EventChanged, Key: key})
		return nil
	}
	next := loadedModel{model: model, version: version}
	c.startChange(&pendingChange{key: key, endsAt: c.now.Add(c.config.ModelLoad), role: c.role, loaded: next})
	return nil
}

// LoadAdapter adds an adapter to the loaded model. Adapters are small, so the
// call takes effect immediately and running requests continue.
func (c *Core) LoadAdapter(now time.Time, model, adapter string) error {
	c.advance(now)
	if c.change != nil {
		return RefusedBusy
	}
	if model != c.loaded.model {
		return RefusedUnknownModel
	}
	if !slices.Contains(c.loaded.adapters, adapter) {
		c.loaded.adapters = append(slices.Clone(c.loaded.adapters), adapter)
	}
	c.recordLoad()
	return nil
}

// UnloadAdapter removes an adapter. Requests for it that are already in the
// engine continue.
func (c *Core) UnloadAdapter(now time.Time, adapter string) {
	c.advance(now)
	kept := slices.Clone(c.loaded.adapters)
	c.loaded.adapters = slices.DeleteFunc(kept, func(name string) bool { return name == adapter })
	c.recordLoad()
}

// UnloadModel removes a model immediately and aborts all requests. It has no
// effect if another model is loaded.
func (c *Core) UnloadModel(now time.Time, model string) error {
	c.advance(now)
	if c.change != nil {
		return RefusedBusy
	}
	if model != c.loaded.model {
		return nil
	}
	c.abortAll()
	c.loaded = loadedModel{}
	c.recordLoad()
	return nil
}

// SetDrain makes the engine refuse (true) or accept (false) new requests.
// Accepted requests continue.
func (c *Core) SetDrain(now time.Time, drain bool) {
	c.advance(now)
	c.drain = drain
	c.recordLoad()
}

func (c *Core) startChange(ch *pendingChange) {
	c.abortAll()
	c.change = ch
	c.recordLoad()
}

// abortAll aborts all requests and clears the prefix cache.
func (c *Core) abortAll() {
	for len(c.running) > 0 {
		seq := c.running[0]
		c.removeRunning(seq)
		c.events = append(c.events, Event{At: c.now, Kind: EventAborted, Key: seq.Key})
	}
	for _, seq := range c.waiting {
		c.events = append(c.events, Event{At: c.now, Kind: EventAborted, Key: seq.Key})
	}
	c.waiting = nil
	c.step = nil
	c.cache.clear()
}

// endChange completes the change in progress if its time has come.
func (c *Core) endChange() {
	if c.change == nil || c.change.endsAt.After(c.now) {
		return
	}
	done := c.change
	c.change = nil
	c.role, c.loaded = done.role, done.loaded
	c.events = append(c.events, Event{At: c.now, Kind: EventChanged, Key: done.key})
}

// Export starts to send the leading blocks that are cached and returns them. An
// EventTransferred with this key marks the end of the transfer.
func (c *Core) Export(now time.Time, key string, blocks []uint64) []uint64 {
	c.advance(now)
	var present []uint64
	for _, block := range blocks {
		if c.cache.blocks[block] == nil {
			break
		}
		present = append(present, block)
	}
	c.startTransfer(key, present, false)
	return present
}

// Import starts to receive blocks. They are cached when the transfer ends,
// which an EventTransferred with this key marks.
func (c *Core) Import(now time.Time, key string, blocks []uint64) {
	c.advance(now)
	c.startTransfer(key, blocks, true)
}

// startTransfer queues a transfer. Transfers run one at a time, in order.
func (c *Core) startTransfer(key string, blocks []uint64, inbound bool) {
	start := c.now
	if n := len(c.transfers); n > 0 {
		start = c.transfers[n-1].endsAt
	}
	tokens := len(blocks) * backend.PrefixBlockTokens
	duration := time.Duration(tokens) * time.Second / time.Duration(max(1, c.config.TransferTokensPerSecond))
	c.transfers = append(c.transfers, &transfer{key: key, endsAt: start.Add(duration), blocks: blocks, inbound: inbound})
}

// endTransfers completes the transfers whose time has come.
func (c *Core) endTransfers() {
	for len(c.transfers) > 0 && !c.transfers[0].endsAt.After(c.now) {
		done := c.transfers[0]
		c.transfers = c.transfers[1:]
		moved := done.blocks
		if done.inbound {
			moved = c.cacheReceived(done.blocks)
		}
		c.events = append(c.events, Event{At: c.now, Kind: EventTransferred, Key: done.key, Blocks: moved})
	}
}

// cacheReceived caches received blocks in order until the memory is full, and
// returns the cached ones. It caches none during a role change or model load.
func (c *Core) cacheReceived(blocks []uint64) []uint64 {
	var stored []uint64
	for _, block := range blocks {
		if c.change != nil || (c.cache.blocks[block] == nil && !c.evictFor(backend.PrefixBlockTokens)) {
			break
		}
		c.cache.store(block)
		stored = append(stored, block)
	}
	c.cache.release(stored)
	return stored
}
