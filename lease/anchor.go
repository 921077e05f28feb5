package lease

import (
	"time"

	"github.com/mimosakeel/mimosakeel/record"
)

// checkpointPartBytes is the maximum size of one part of a checkpoint. It leaves
// room for the envelope in a record.
const checkpointPartBytes = record.MaxRecordBytes / 2

// anchorTimes holds the times of the last anchor requests and checkpoints.
type anchorTimes struct {
	// requestRead is the time at which the last anchor request was read.
	requestRead time.Time
	// sent is the time of the last anchor request, genesis or checkpoint of this
	// machine.
	sent time.Time
	// checkpointRead is the time at which the last checkpoint was read.
	checkpointRead time.Time
}

func newAnchorTimes() anchorTimes { return anchorTimes{} }

func (a *anchorTimes) observe(now time.Time, d record.Decision) {
	switch d.Entry.Kind {
	case record.KindAnchorRequest:
		a.requestRead = now
	case record.KindCheckpoint:
		a.checkpointRead = now
	}
}

// genesisWait is the time that anchored daemons have to answer an anchor request
// before a genesis may be written: one lease duration plus margins.
func (c Config) genesisWait() time.Duration {
	return c.Takeover() + c.Margin
}

// stepUnanchored appends an anchor request to get a checkpoint. It appends a
// genesis, which restarts the chain, if no anchored author has written anything
// for genesisWait since the request.
func (m *Machine) stepUnanchored(now time.Time) []Action {
	fresh := !m.lastRead.IsZero() && now.Sub(m.lastRead) <= m.cfg.ReadFresh
	if m.stopping || !fresh || now.Sub(m.anchorTimes.sent) < m.cfg.DoubtAfter {
		return nil
	}
	request := m.chain.LastRequest()
	wait := m.cfg.genesisWait()
	if request == record.NoOffset {
		return m.appendAnchorRecord(now, record.KindAnchorRequest, nil)
	}
	if now.Sub(m.anchorTimes.requestRead) < wait {
		return nil
	}
	if !m.chain.GenesisAllowed(request) {
		return m.appendAnchorRecord(now, record.KindAnchorRequest, nil)
	}
	wait += time.Duration(max(m.rank, 0)) * m.cfg.RankDelay
	if now.Sub(m.anchorTimes.requestRead) < wait {
		return nil
	}
	return m.appendAnchorRecord(now, record.KindGenesis, record.EncodeBody(record.GenesisBody{Request: request, AtMs: now.UnixMilli()}))
}

func (m *Machine) appendAnchorRecord(now time.Time, kind record.Kind, body []byte) []Action {
	m.anchorTimes.sent = now
	return []Action{Append{m.chain.Envelope(kind, m.self.Incarnation, m.appender.newID(), body)}}
}

// dueCheckpoint returns the appends of the checkpoint to write now, if any: the
// holder's periodic checkpoint, or the answer to an open anchor request. Answers
// are delayed by rank, so that usually only one daemon answers.
func (m *Machine) dueCheckpoint(now time.Time) []Action {
	if now.Sub(m.anchorTimes.sent) < 2*m.cfg.DoubtAfter {
		return nil
	}
	_, holder := m.Authority(now)
	if m.anchorTimes.checkpointRead.IsZero() {
		m.anchorTimes.checkpointRead = now
	}
	regular := holder && now.Sub(m.anchorTimes.checkpointRead) >= m.cfg.CheckpointEvery
	answer := m.chain.OpenRequest() != record.NoOffset &&
		m.rank >= 0 &&
		now.Sub(m.anchorTimes.requestRead) >= time.Duration(m.rank)*m.cfg.RankDelay
	if !regular && !answer {
		return nil
	}
	m.anchorTimes.sent = now
	var actions []Action
	for _, e := range m.chain.Checkpoint(m.self.Incarnation, m.appender.newID, checkpointPartBytes) {
		actions = append(actions, Append{e})
	}
	return actions
}
