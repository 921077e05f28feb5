package daemon

import (
	"strconv"

	"github.com/mimosakeel/mimosakeel/schedule"
)

// setOnLeaving sets the callback that is called when the scheduler reports that
// the runner of a grant is about to stop. If the report has already arrived, it
// calls the callback at once, without the lock, because the callback may release
// grants.
func (g *grantClient) setOnLeaving(number uint64, leaving func()) {
	if leaving == nil {
		return
	}
	g.mu.Lock()
	open := g.open[number]
	vacated := open != nil && open.vacated
	if open != nil {
		open.onLeaving = leaving
	}
	g.mu.Unlock()
	if vacated {
		leaving()
	}
}

// handleVacate handles the message of a scheduler that the runner of a stream
// is about to stop.
func (g *grantClient) handleVacate(from string, m *schedule.Vacate) {
	if leaving := g.markVacated(from, m); leaving != nil {
		leaving()
	}
}

// markVacated marks a grant and returns its callback, which may be nil. It
// ignores a message for another ticket or runner, because it is outdated.
func (g *grantClient) markVacated(from string, m *schedule.Vacate) func() {
	number, err := strconv.ParseUint(m.Request, 36, 64)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	open := g.open[number]
	if open == nil || open.scheduler != from || open.ticket != m.Ticket || open.runner != m.Runner {
		return nil
	}
	open.vacated = true
	return open.onLeaving
}
