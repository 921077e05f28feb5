package ingress

import "time"

const (
	// sweepInterval is the time between two checks of all connections. It is the
	// precision of all times of a Gate.
	sweepInterval = 200 * time.Millisecond
	// reportInterval is the time between two reports of one reason.
	reportInterval = 5 * time.Second
	// rateWeight is the weight of the last interval in the rate of a connection, which
	// thereby covers about a second.
	rateWeight = 0.3
	// lateTime is the time after which a connection is closed that was to refuse a head
	// and did not.
	lateTime = 2 * time.Second
	// probesPerTimeout is the number of times that a write is interrupted within the
	// idle timeout to see whether it moves.
	probesPerTimeout = 4
)

func (g *Gate) run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	reported := time.Now()
	for {
		select {
		case <-g.done:
			return
		case now := <-tick.C:
			g.sweep(now)
			if now.Sub(reported) >= reportInterval {
				reported = now
				g.report()
			}
		}
	}
}

// action is what a sweep does with a connection.
type action uint8

const (
	actNothing action = iota
	actClose
	actCloseIdle
	actInterruptRead
	actInterruptWrite
)

// sweep advances the time of the Gate by one step, so that a daemon that did not run for
// a while blames no client for it, and enforces the times of all connections.
func (g *Gate) sweep(wall time.Time) {
	now := g.now.Add(int64(sweepInterval))
	limits := g.Limits()
	type due struct {
		conn  *Conn
		act   action
		phase phase
	}
	var all []due
	g.mu.Lock()
	for _, l := range g.listeners {
		for c := range l.conns {
			useful := c.useful.Load()
			c.rate += rateWeight * (float64(useful-c.seen)/sweepInterval.Seconds() - c.rate)
			c.seen = useful
			c.judged = c.phase.Load()
			act, why := c.check(now, wall, limits)
			switch {
			case act == actClose && c.retireFrom(c.judged):
				g.counters.count(why)
				delete(l.conns, c)
			case act == actClose:
				act = actNothing
			case act == actCloseIdle:
				g.counters.count(why)
			}
			if act != actNothing {
				all = append(all, due{c, act, c.judged})
			}
		}
	}
	g.mu.Unlock()
	for _, d := range all {
		// Errors mean that the connection is closed.
		switch d.act {
		case actClose:
			_ = d.conn.Conn.Close()
		case actCloseIdle:
			d.conn.closeIfIdle(now, 0)
		case actInterruptRead:
			d.conn.interruptRead(d.phase)
		case actInterruptWrite:
			_ = d.conn.Conn.SetWriteDeadline(past)
		}
	}
}

// check compares the times of a connection in the phase judged with the limits. gate.mu
// is held.
func (c *Conn) check(now int64, wall time.Time, l Limits) (action, reason) {
	waited := time.Duration(now - c.since.Load())
	stalled := time.Duration(now - c.progressAt.Load())
	switch c.judged {
	case phaseNew, phaseIdle:
		if waited > l.IdleTimeout {
			return actCloseIdle, reasonIdle
		}
	case phaseHead:
		if waited > l.HeaderTimeout && c.phase.CompareAndSwap(phaseHead, phaseLate) {
			c.judged = phaseLate
			return actInterruptRead, reasonHeadTime
		}
	case phaseLate:
		if waited > l.HeaderTimeout+lateTime {
			return actClose, reasonHeadTime
		}
		return actInterruptRead, reasonHeadTime
	case phaseBody:
		deadline := c.bodyDeadline.Load()
		if deadline != 0 && wall.UnixNano() > deadline {
			c.expired.Store(true)
			return actInterruptRead, reasonBodyTime
		}
		if deadline == 0 && stalled > l.IdleTimeout {
			return actClose, reasonStalled
		}
	}
	since := c.writing.Load()
	if since == 0 || c.ownDeadline.Load() || c.judged == phaseRefused {
		return actNothing, 0
	}
	if probed := max(since, c.probed.Load()); now-probed >= int64(l.IdleTimeout/probesPerTimeout) {
		c.probed.Store(now)
		return actInterruptWrite, reasonUnread
	}
	return actNothing, 0
}
