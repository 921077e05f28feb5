package pool

import "github.com/mimosakeel/mimosakeel/backend"

// prefixTokens returns the size in tokens of the request's first prefix blocks.
func (r *Request) prefixTokens(blocks int) int {
	if len(r.BlockTokens) == 0 {
		return blocks * backend.PrefixBlockTokens
	}
	sum := 0
	for _, n := range r.BlockTokens[:min(blocks, len(r.BlockTokens))] {
		sum += min(max(n, 0), MaxTokens)
	}
	return min(sum, MaxTokens)
}

// noteCache records prefix blocks that runners cache because another scheduler
// placed a request there.
func (p *Pool) noteCache(ev *CacheNoted) {
	for _, id := range ev.Runners {
		if r := p.runnerByID(id); r != nil {
			p.storeBlocks(r, ev.Blocks)
		}
	}
}

// storeBlocks records that a runner caches prefix blocks.
func (p *Pool) storeBlocks(r *runner, blocks []uint64) {
	for _, block := range blocks[:min(len(blocks), maxBlocks)] {
		p.prefixes.store(block, r.slot)
	}
}

// prefixIndex records which runners cache a prefix block. Its size is bounded: a
// new block replaces the one that was added first.
type prefixIndex struct {
	// masks maps a block to a mask with one bit per runner slot.
	masks map[uint64]uint32
	// ring holds at most size blocks in the order in which they were added; next is
	// the index of the oldest one once the ring is full. It grows with its blocks,
	// because most daemons hold most pools for the case only that a scheduler fails.
	ring []uint64
	size int
	next int
}

func newPrefixIndex(size int) *prefixIndex {
	return &prefixIndex{masks: make(map[uint64]uint32), size: size}
}

// store marks a block as present on a runner.
func (x *prefixIndex) store(block uint64, runner int) {
	if mask, ok := x.masks[block]; ok {
		x.masks[block] = mask | 1<<runner
		return
	}
	if x.size == 0 {
		return
	}
	if len(x.ring) < x.size {
		x.ring = append(x.ring, block)
	} else {
		delete(x.masks, x.ring[x.next])
		x.ring[x.next] = block
		x.next = (x.next + 1) % len(x.ring)
	}
	x.masks[block] = 1 << runner
}

// evict marks a block as absent on a runner. The entry keeps its place in the
// ring, so that a block is in the ring exactly once.
func (x *prefixIndex) evict(block uint64, runner int) {
	if mask, ok := x.masks[block]; ok {
		x.masks[block] = mask &^ (1 << runner)
	}
}

// removeRunner marks all blocks as absent on a runner.
func (x *prefixIndex) removeRunner(runner int) {
	for block, mask := range x.masks {
		x.masks[block] = mask &^ (1 << runner)
	}
}

// match sets counts to the number of leading blocks that are present on each
// runner.
func (x *prefixIndex) match(blocks []uint64, counts *[MaxRunners]int) {
	*counts = [MaxRunners]int{}
	present := ^uint32(0)
	for i, block := range blocks[:min(len(blocks), maxBlocks)] {
		now := present & x.masks[block]
		for lost := present &^ now; lost != 0; lost &= lost - 1 {
			counts[lowestBit(lost)] = i
		}
		present = now
		if present == 0 {
			return
		}
	}
	for ; present != 0; present &= present - 1 {
		counts[lowestBit(present)] = min(len(blocks), maxBlocks)
	}
}
