package engine

import (
	"container/list"
	"slices"

	"github.com/mimosakeel/mimosakeel/backend"
)

// admit moves waiting requests into the batch, by priority and then by arrival,
// while the batch has a free place and the memory fits their prompts. It
// preempts running requests of lower priority if necessary.
func (c *Core) admit() {
	slices.SortStableFunc(c.waiting, compareSequences)
	planned := 0
	for _, seq := range c.running {
		planned += seq.contextNeeded - seq.context
	}
	for len(c.waiting) > 0 {
		seq := c.waiting[0]
		if len(c.running) >= c.config.MaxBatch {
			if !c.preemptFor(seq, &planned) {
				return
			}
			continue
		}
		cached := c.cache.acquire(seq.Blocks, seq.contextNeeded-1)
		cachedTokens := len(cached) * backend.PrefixBlockTokens
		if !c.evictFor(planned + seq.contextNeeded - cachedTokens) {
			c.cache.release(cached)
			if !c.preemptFor(seq, &planned) {
				return
			}
			continue
		}
		seq.cachedBlocks = cached
		seq.cachedTokens = min(cachedTokens, seq.PromptTokens)
		seq.context = cachedTokens
		c.waiting = c.waiting[1:]
		c.running = append(c.running, seq)
		planned += seq.contextNeeded - seq.context
		slices.SortStableFunc(c.running, compareSequences)
	}
}

// preemptFor preempts the last running sequence if its priority is below that
// of seq and reports whether it did. planned is the number of prefill tokens
// that the running sequences still need.
func (c *Core) preemptFor(seq *sequence, planned *int) bool {
	if len(c.running) == 0 {
		return false
	}
	last := c.running[len(c.running)-1]
	if last.Priority >= seq.Priority {
		return false
	}
	*planned -= last.contextNeeded - last.context
	c.preempt(last)
	return true
}

// compareSequences orders sequences by descending priority, then by arrival.
func compareSequences(a, b *sequence) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// removeRunning removes a sequence from the batch and the running step, and
// frees its memory. It has no effect if the sequence is not running.
func (c *Core) removeRunning(seq *sequence) {
	i := slices.Index(c.running, seq)
	if i < 0 {
		return
	}
	c.running = slices.Delete(c.running, i, i+1)
	c.privateUsed -= seq.privateTokens() + c.reservedTokens(seq)
	c.cache.release(seq.cachedBlocks)
	seq.cachedBlocks = nil
	if c.step != nil {
		c.step.drop(seq)
	}
}

// reservedTokens returns the tokens of memory that the running step has
// reserved for a sequence.
func (c *Core) reservedTokens(seq *sequence) int {
	if c.step == nil {
		return 0
	}
	tokens := 0
	if slices.Contains(c.step.decode, seq) {
		tokens++
	}
	for _, chunk := range c.step.prefill {
		if chunk.seq == seq {
			tokens += chunk.tokens
		}
	}
	return tokens
}

func (s *step) drop(seq *sequence) {
	s.decode = slices.DeleteFunc(s.decode, func(other *sequence) bool { return other == seq })
	s.prefill = slices.DeleteFunc(s.prefill, func(chunk prefillChunk) bool { return chunk.seq == seq })
}

// kvUsed returns the KV memory in use in tokens: private memory of the
// sequences and cached blocks.
func (c *Core) kvUsed() int {
	return c.privateUsed + c.cache.size()*backend.PrefixBlockTokens
}

// evictFor evicts unused cached blocks, least recently used first, until the
// given number of tokens fits. It returns false if evicting all of them is not
// enough.
func (c *Core) evictFor(tokens int) bool {
	for c.kvUsed()+tokens > c.config.KVTokens {
		if !c.cache.evictOne() {
			return false
		}
	}
	return true
}

// makeRoom frees memory for more tokens of a sequence. If evicting cached
// blocks is not enough, it preempts the last sequences of the batch, which
// later recompute their context. It returns false if seq itself is the last
// sequence.
func (c *Core) makeRoom(tokens int, seq *sequence) bool {
	for !c.evictFor(tokens) {
		victim := c.running[len(c.running)-1]
		if victim == seq {
			return false
		}
		c.preempt(victim)
	}
	return true
}

// preempt returns a running sequence to the queue. Its KV data is lost, so its
// prompt and generated tokens must be prefilled again.
func (c *Core) preempt(seq *sequence) {
	c.removeRunning(seq)
	seq.contextNeeded = seq.PromptTokens + seq.position
	seq.context = 0
	c.waiting = append(c.waiting, seq)
}

// storeBlocks moves the full blocks of the computed part of the prompt into the
// prefix cache.
func (c *Core) storeBlocks(seq *sequence) {
	whole := min(seq.context/backend.PrefixBlockTokens, len(seq.Blocks))
	for len(seq.cachedBlocks) < whole {
		block := seq.Blocks[len(seq.cachedBlocks)]
		// If another sequence has stored the same block, both share it.
		c.privateUsed -= backend.PrefixBlockTokens
		c.cache.store(block)
		seq.cachedBlocks = append(seq.cachedBlocks, block)
	}
}

// prefixCache holds the cached KV blocks of prompt prefixes with their
// reference counts. Unused blocks stay until their memory is needed.
type prefixCache struct {
	blocks map[uint64]*cachedBlock
	// unused holds the blocks that no sequence references, least recently used
	// first.
	unused *list.List
	// notify is called for each block that is stored or evicted.
	notify func(op backend.CacheOp, block uint64)
}

type cachedBlock struct {
	hash uint64
	// users is the number of sequences that reference the block.
	users int
	// element is the block's element in unused; nil while it is referenced.
	element *list.Element
}

func newPrefixCache(notify func(backend.CacheOp, uint64)) *prefixCache {
	return &prefixCache{blocks: map[uint64]*cachedBlock{}, unused: list.New(), notify: notify}
}

func (p *prefixCache) size() int { return len(p.blocks) }

// acquire references and returns the leading blocks that are cached, covering
// at most limit tokens. The limit leaves at least one token to compute.
func (p *prefixCache) acquire(blocks []uint64, limit int) []uint64 {
	var taken []uint64
	for _, hash := range blocks {
		if p.blocks[hash] == nil || (len(taken)+1)*backend.PrefixBlockTokens > limit {
			break
		}
		p.use(p.blocks[hash])
		taken = append(taken, hash)
	}
	return taken
}

// use adds a reference to a block.
func (p *prefixCache) use(block *cachedBlock) {
	block.users++
	if block.element != nil {
		p.unused.Remove(block.element)
		block.element = nil
	}
}

// store adds a block, unless it is cached already, and references it.
func (p *prefixCache) store(hash uint64) {
	block := p.blocks[hash]
	if block == nil {
		block = &cachedBlock{hash: hash}
		p.blocks[hash] = block
		p.notify(backend.CacheStore, hash)
	}
	p.use(block)
}

// release drops a reference to each of the blocks. It releases the last block
// of a prefix first, so that it is evicted first: earlier blocks are usable
// without later ones, but not the reverse.
func (p *prefixCache) release(blocks []uint64) {
	for _, hash := range slices.Backward(blocks) {
		block := p.blocks[hash]
		block.users--
		if block.users == 0 {
			block.element = p.unused.PushBack(block)
		}
	}
}

// evictOne evicts the least recently used unused block. It returns false if
// there is none.
func (p *prefixCache) evictOne() bool {
	oldest := p.unused.Front()
	if oldest == nil {
		return false
	}
	block := oldest.Value.(*cachedBlock)
	p.unused.Remove(oldest)
	delete(p.blocks, block.hash)
	p.notify(backend.CacheEvict, block.hash)
	return true
}

// clear evicts all unused blocks.
func (p *prefixCache) clear() {
	for p.evictOne() {
	}
}
