package daemon

import (
	"time"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

// configFold folds the config stream and publishes the table in force. It
// belongs to the control goroutine.
type configFold struct {
	fold
	state        *table.State
	checkpointer *table.Checkpointer
	// current is read by traffic goroutines.
	current *table.Current
	append  func(record.Envelope)
	// changed is called after a new table version has come into force.
	changed func(*table.Snapshot)
	// decided is called for each record on which the fold has decided.
	decided func(record.Decision)
	// applied is called with the end of the folded stream once the table in force
	// reflects the stream up to there.
	applied func(now time.Time, next int64)
	// failed is called once if a record in a newer format stops the fold.
	failed func(error)
}

// page folds one page, which was read from the log or through a peer.
func (c *configFold) page(now time.Time, p logPage) {
	decisions, err := c.apply(p)
	if err != nil {
		c.failed(err)
	}
	for _, d := range decisions {
		c.checkpointer.Observe(now, d)
		c.decided(d)
	}
	if c.anchored() {
		c.publish(now)
	}
	for _, e := range c.checkpointer.Tick(now) {
		c.append(e)
	}
}

// publish puts the folded table in force before it reports the end of the
// folded stream as applied. In the reverse order, a withdrawn key could still
// be accepted by the older table.
func (c *configFold) publish(now time.Time) {
	if c.current.Publish(c.state.InForce()) {
		c.changed(c.current.Load())
	}
	c.applied(now, c.stream.Next())
}

// bindStream starts a new fold and binds the checkpointer to its chain. The table
// in force stays.
func (c *configFold) bindStream(first int64) *record.Stream {
	c.state = table.NewState()
	stream := record.NewStream(first, func(subject string) record.State {
		if subject != table.Subject {
			return nil
		}
		return c.state
	})
	c.checkpointer.Bind(stream.Chain(table.Subject))
	return stream
}

func (c *configFold) anchored() bool {
	return c.stream != nil && c.stream.Chain(table.Subject).Anchored()
}

// ready reports whether the daemon has a table and can follow the config
// stream.
func (c *configFold) ready() bool {
	return c.stopErr == nil && c.current.Load().Version() != record.NoOffset
}

// newConfigFold returns the fold of the config stream with its effects on the
// request path.
func (d *Daemon) newConfigFold(current *table.Current, incarnation string) *configFold {
	c := &configFold{
		checkpointer: table.NewCheckpointer(incarnation, d.settings.CheckpointInterval()),
		current:      current,
		append:       func(e record.Envelope) { d.appendTo(configStream)(e, func(appendResult) {}) },
		changed:      d.configChanged,
		decided:      d.events.decision,
		failed:       func(err error) { d.events.fault("config_stream_stopped", err) },
		applied:      d.control.fresh.applied,
	}
	c.newStream = c.bindStream
	return c
}

// configChanged ends the requests of withdrawn keys after a new table version
// has come into force. It runs on the control goroutine.
func (d *Daemon) configChanged(s *table.Snapshot) {
	ended := d.gateway.Sessions().WithdrawInvalid(func(key gateway.KeyHash) bool {
		_, ok := s.Lookup(key)
		return ok
	})
	d.events.config(s.Version(), s.Author(), ended)
}
