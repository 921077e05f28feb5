package usage

import (
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

// CollectorConfig holds the intervals and limits of a Collector.
type CollectorConfig struct {
	// Every is the shortest time between two deltas.
	Every time.Duration
	// Retry is the time after which a delta that has not been read back from the
	// log is appended again.
	Retry time.Duration
	// MaxSealed bounds the sealed deltas that are not yet in the log.
	MaxSealed int
	// MaxRows bounds the rows that are not yet sealed. Beyond it, the rows of
	// earlier windows are moved to the current one. The sums stay correct, and the
	// number of rows is bounded by customers times resources.
	MaxRows int
	// DeltaRows bounds the rows of one delta.
	DeltaRows int
}

// DefaultCollector returns the default configuration.
func DefaultCollector() CollectorConfig {
	return CollectorConfig{
		Every:     2 * time.Second,
		Retry:     2 * time.Second,
		MaxSealed: 30,
		MaxRows:   20_000,
		DeltaRows: 2000,
	}
}

// CollectorAction requests that a delta be appended to the log, copied to a peer,
// or both.
type CollectorAction struct {
	Delta  Delta
	Append bool
	Copy   bool
}

// Collector batches the usage of one daemon into numbered deltas. A delta is
// sealed, that is immutable, before it is appended, so that repeated appends of it
// are identical and the fold counts it once.
type Collector struct {
	cfg         CollectorConfig
	incarnation string
	// size is the length of a window in seconds.
	size int64
	// seq is the number of the last sealed delta.
	seq int64
	// watermark is the start of the current window.
	watermark int64
	// open holds the usage that is in no sealed delta yet.
	open map[rowKey]Sum
	// sealed are the deltas that have not been read back from the log, in order.
	sealed   []Delta
	sealedAt time.Time
	// sentSeq and sentAt are the number and the time of the last append.
	sentSeq int64
	sentAt  time.Time
}

// NewCollector returns a collector for windows of size seconds.
func NewCollector(cfg CollectorConfig, incarnation string, size int64) *Collector {
	return &Collector{cfg: cfg, incarnation: incarnation, size: size, open: map[rowKey]Sum{}}
}

// Add counts usage in the window that is current at the time now.
func (c *Collector) Add(now time.Time, customer, resource string, sum Sum) {
	key := rowKey{c.advance(now), customer, resource}
	c.open[key] = c.open[key].add(sum)
	if len(c.open) > c.cfg.MaxRows {
		c.mergeWindows()
	}
}

// advance returns the start of the current window. It never decreases, even if the
// clock jumps back, because earlier windows may already be closed.
func (c *Collector) advance(now time.Time) int64 {
	c.watermark = max(c.watermark, now.Unix()/c.size*c.size)
	return c.watermark
}

// mergeWindows moves all open usage to the current window.
func (c *Collector) mergeWindows() {
	merged := map[rowKey]Sum{}
	for k, sum := range c.open {
		k.window = c.watermark
		merged[k] = merged[k].add(sum)
	}
	c.open = merged
}

// Unlogged returns the number of sealed deltas that are not yet known to be in the
// log, and the number of rows that are not yet sealed.
func (c *Collector) Unlogged() (deltas, rows int) { return len(c.sealed), len(c.open) }

// Flush makes the next call of Step seal a delta regardless of Every. The caller
// uses it before a planned stop.
func (c *Collector) Flush() { c.sealedAt = time.Time{} }

// ObserveLogged processes decisions read from the log. It drops the sealed deltas
// that are in the log and returns the highest number of those, up to which peers
// may drop their copies, or 0 if there are none.
func (c *Collector) ObserveLogged(decisions []record.Decision) int64 {
	var confirmed int64
	for _, d := range decisions {
		var delta Delta
		if d.Entry.Kind != KindDelta || record.DecodeBody(d.Entry.Body, &delta) != nil {
			continue
		}
		if delta.Incarnation == c.incarnation && len(c.sealed) > 0 && delta.Seq == c.sealed[0].Seq {
			confirmed = delta.Seq
			c.sealed = c.sealed[1:]
		}
	}
	return confirmed
}

// Step seals a delta if one is due and requests the append of the first sealed
// one. A delta without rows is sealed too, because it advances the watermark.
func (c *Collector) Step(now time.Time) []CollectorAction {
	c.advance(now)
	var actions []CollectorAction
	if now.Sub(c.sealedAt) >= c.cfg.Every && len(c.sealed) < c.cfg.MaxSealed {
		c.sealedAt = now
		c.seal()
		actions = append(actions, CollectorAction{Delta: c.sealed[len(c.sealed)-1], Copy: true})
	}
	if len(c.sealed) == 0 {
		return actions
	}
	first := c.sealed[0]
	if first.Seq == c.sentSeq && now.Sub(c.sentAt) < c.cfg.Retry {
		return actions
	}
	c.sentSeq, c.sentAt = first.Seq, now
	return append(actions, CollectorAction{Delta: first, Append: true})
}

// seal adds a delta with the oldest open rows, at most DeltaRows of them.
func (c *Collector) seal() {
	keys := make([]rowKey, 0, len(c.open))
	for k := range c.open {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	keys, rest := keys[:min(len(keys), c.cfg.DeltaRows)], keys[min(len(keys), c.cfg.DeltaRows):]
	c.seq++
	delta := Delta{Incarnation: c.incarnation, Seq: c.seq, Watermark: c.watermark}
	if len(rest) > 0 {
		// The next delta still has rows of this window.
		delta.Watermark = min(delta.Watermark, rest[0].window)
	}
	for _, k := range keys {
		delta.Rows = append(delta.Rows, Row{k.customer, k.resource, k.window, c.open[k]})
		delete(c.open, k)
	}
	c.sealed = append(c.sealed, delta)
}

// PeerCopies stores deltas of other daemons until they are in the log, so that they
// aren't lost if their daemon crashes before it has appended them.
type PeerCopies struct {
	max    int
	deltas map[string][]Delta
}

// NewPeerCopies returns an empty store that keeps at most max deltas per daemon.
func NewPeerCopies(max int) *PeerCopies { return &PeerCopies{max: max, deltas: map[string][]Delta{}} }

// Store adds a copy. Beyond the limit it drops the oldest one of the daemon.
func (c *PeerCopies) Store(d Delta) {
	kept := append(c.deltas[d.Incarnation], d)
	c.deltas[d.Incarnation] = kept[max(0, len(kept)-c.max):]
}

// Confirm drops the copies of a daemon up to and including number upTo, which are
// in the log.
func (c *PeerCopies) Confirm(incarnation string, upTo int64) {
	c.deltas[incarnation] = slices.DeleteFunc(c.deltas[incarnation], func(d Delta) bool { return d.Seq <= upTo })
	if len(c.deltas[incarnation]) == 0 {
		delete(c.deltas, incarnation)
	}
}

// Adopt removes and returns the copies of a daemon that has stopped. The caller
// appends them to the log; the fold ignores those that are already in it.
func (c *PeerCopies) Adopt(incarnation string) []Delta {
	adopted := c.deltas[incarnation]
	delete(c.deltas, incarnation)
	return adopted
}
