package daemon

import (
	"context"
	"time"

	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// outgoing is a message with the VM to which it is sent.
type outgoing struct {
	vm      string
	message peer.Message
}

// run reports the progress of all open grants until the context ends.
func (g *grantClient) run(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, out := range g.reports(now) {
				g.send(out.vm, out.message)
			}
		}
	}
}

// reports returns one progress message per scheduler and pool, and adoption
// requests for streams whose scheduler has changed.
func (g *grantClient) reports(now time.Time) []outgoing {
	type target struct{ vm, pool string }
	current := g.view()
	progress := map[target]*schedule.Progress{}
	var out []outgoing
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, open := range g.open {
		owner := current.schedulerOf(open.pool)
		if owner == "" {
			continue
		}
		if open.ticket != 0 && owner != open.scheduler {
			open.ticket = 0
			open.adoptSent = time.Time{}
		}
		if open.ticket == 0 {
			if now.Sub(open.adoptSent) >= adoptInterval {
				open.adoptSent = now
				out = append(out, outgoing{owner, open.adoptMessage()})
			}
			continue
		}
		at := target{open.scheduler, open.pool}
		if progress[at] == nil {
			progress[at] = &schedule.Progress{Pool: open.pool}
			out = append(out, outgoing{at.vm, progress[at]})
		}
		progress[at].Tickets = append(progress[at].Tickets, open.report(now))
	}
	return out
}

func (o *openGrant) adoptMessage() *schedule.Adopt {
	return &schedule.Adopt{Pool: o.pool, Request: o.request, Runner: o.runner, Tokens: int(o.tokens.Load())}
}

// report returns the progress since the last report.
func (o *openGrant) report(now time.Time) schedule.TicketProgress {
	tokens := o.tokens.Load()
	report := schedule.TicketProgress{
		Ticket:     o.ticket,
		Tokens:     int(tokens),
		FirstToken: time.Duration(o.firstToken.Load()),
	}
	if grown := tokens - o.reported; grown > 0 && o.reported > 0 {
		report.BetweenTokens = now.Sub(o.reportAt) / time.Duration(grown)
	}
	if tokens > o.reported {
		o.reported = tokens
		o.reportAt = now
	}
	return report
}

// schedulerOf returns the VM that schedules a pool, or "" if the pool is
// unknown.
func (v *view) schedulerOf(name string) string {
	return v.schedulers[name]
}
