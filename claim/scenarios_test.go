package claim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pair is a simulation of two daemons on one log without faults, for cases that
// the random steps of TestRequestRunsAtMostOnce rarely reach.
type pair struct {
	*simulation
	a, b *daemon
}

func newPair() pair {
	s := newSimulation(nil)
	return pair{s, s.daemons[0], s.daemons[1]}
}

func (p pair) askAt(d *daemon, ticket uint64) {
	request := Request{Key: Key{Customer: "c"}}
	p.asked[ticketName(d, ticket)] = request
	p.step(d, Asked{Ticket: ticket, Request: request, Deadline: p.now.Add(10 * time.Second)})
}

func (p pair) finishAs(d *daemon, o Outcome) {
	for token := range d.running {
		delete(d.running, token)
		p.runs[Key{Customer: "c"}][0].outcome = &o
		p.step(d, Finished{Token: token, Outcome: o})
	}
}

// Guards against a daemon that is paused for longer than the log keeps its claim
// and, when it continues, is granted a key that others may have claimed since.
func TestOldClaimIsNotGranted(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.askAt(p.a, 1)
	p.askAt(p.b, 2)
	p.advance(nil)
	p.b.up = false
	p.finishAs(p.a, Outcome{NotRun: true})
	p.advance(nil)
	p.now = p.now.Add(time.Hour)
	p.readUpTo(p.b, 10)
	g.Expect(p.decided).To(HaveKeyWithValue(ticketName(p.b, 2), Refused))
}

// Guards against a waiting request that does not claim its key after the holder of
// the key has released it.
func TestWaiterClaimsReleasedKey(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.askAt(p.a, 1)
	p.advance(nil)
	p.askAt(p.b, 2)
	g.Expect(p.b.pending).To(BeNil())
	p.finishAs(p.a, Outcome{NotRun: true})
	for range 3 {
		p.advance(nil)
	}
	g.Expect(p.decided).To(HaveKeyWithValue(ticketName(p.b, 2), Granted))
}

// Guards against a duplicate of a claim that arrives late and blocks its key for
// readers that start after the outcome was trimmed.
func TestRepeatedClaimGetsItsOutcomeAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.askAt(p.a, 1)
	p.advance(nil)
	p.finishAs(p.a, Outcome{Status: 200})
	p.advance(nil)
	claim := p.log.records[0]
	p.write(claim)
	p.log.first = 2
	late := p.start()
	p.daemons = append(p.daemons, late)
	for range 3 {
		p.advance(nil)
	}
	p.askAt(late, 9)
	g.Expect(p.decided).To(HaveKeyWithValue(ticketName(late, 9), Replay))
}
