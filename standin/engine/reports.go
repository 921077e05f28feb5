package engine

import (
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

const (
	// maxCacheEvents limits the number of cache events kept for readers. Beyond
	// it, the older half is discarded.
	maxCacheEvents = 100_000
	// maxCachePage limits the number of cache events in one answer.
	maxCachePage = 10_000
)

// reports holds the load reports and cache events until their lag has passed
// and readers fetch them.
type reports struct {
	loads []backend.Load
	// loadSeq is the sequence number of the latest load report.
	loadSeq uint64
	events  []timedCacheEvent
	// cacheSeq is the sequence number of the latest cache event.
	cacheSeq uint64
}

type timedCacheEvent struct {
	backend.CacheEvent
	at time.Time
}

// CurrentLoad returns the current load, without the reporting lag.
func (c *Core) CurrentLoad() backend.Load {
	load := backend.Load{
		Engine:  c.config.ID,
		Seq:     c.reports.loadSeq,
		AtMs:    c.now.UnixMilli(),
		Role:    c.role,
		Model:   c.loaded.model,
		Models:  c.loaded.names(),
		Version: c.loaded.version,
		Running: len(c.running),
		Waiting: len(c.waiting),
		KVUsed:  c.kvUsed(),
		KVTotal: c.config.KVTokens,
		Leaving: c.drain,
	}
	for _, list := range [][]*sequence{c.running, c.waiting} {
		for _, seq := range list {
			load.PrefillTokens += max(0, seq.contextNeeded-seq.context)
			load.DecodeTokens += seq.OutputTokens - seq.position
		}
	}
	return load
}

// recordLoad records the current load, which readers see after the lag.
func (c *Core) recordLoad() {
	c.reports.loadSeq++
	r := &c.reports
	r.loads = append(r.loads, c.CurrentLoad())
	c.trimLoads()
}

// trimLoads drops the load reports that are older than the newest visible one.
func (c *Core) trimLoads() {
	visible := c.now.Add(-c.config.LoadLag).UnixMilli()
	drop := 0
	for drop+1 < len(c.reports.loads) && c.reports.loads[drop+1].AtMs <= visible {
		drop++
	}
	c.reports.loads = c.reports.loads[drop:]
}

// Load returns the load as the engine reports it, which is the load LoadLag
// ago.
func (c *Core) Load(now time.Time) backend.Load {
	c.advance(now)
	c.trimLoads()
	load := c.reports.loads[0]
	// No later report is visible, so the counts were still valid LoadLag ago.
	load.AtMs = max(load.AtMs, c.now.Add(-c.config.LoadLag).UnixMilli())
	return load
}

// recordCacheEvent records a cache event with its sequence number and time. It
// omits every CacheGapEvery-th event.
func (c *Core) recordCacheEvent(op backend.CacheOp, block uint64) {
	r := &c.reports
	r.cacheSeq++
	if every := c.config.CacheGapEvery; every > 0 && r.cacheSeq%uint64(every) == 0 {
		return
	}
	event := backend.CacheEvent{Seq: r.cacheSeq, Op: op, Block: block}
	r.events = append(r.events, timedCacheEvent{event, c.now})
	if len(r.events) > maxCacheEvents {
		r.events = r.events[len(r.events)-maxCacheEvents/2:]
	}
}

// CacheEvents returns the cache events that are older than CacheLag, starting
// at sequence number from, at most maxCachePage of them.
func (c *Core) CacheEvents(now time.Time, from uint64) backend.CacheEvents {
	c.advance(now)
	page := backend.CacheEvents{Events: []backend.CacheEvent{}, Next: max(from, 1)}
	visible := c.now.Add(-c.config.CacheLag)
	for _, event := range c.reports.events {
		if event.Seq < from {
			continue
		}
		if event.at.After(visible) || len(page.Events) == maxCachePage {
			break
		}
		page.Events = append(page.Events, event.CacheEvent)
		page.Next = event.Seq + 1
	}
	return page
}
