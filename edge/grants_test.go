package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

// schedulerFake answers the grant requests to any VM and records all messages.
type schedulerFake struct {
	grants *grantClient
	// grant returns the answer to a request, or false for no answer.
	grant func(vm string, r *schedule.GrantRequest) (pool.Granted, bool)

	mu   sync.Mutex
	sent []sentMessage
}

type sentMessage struct {
	vm      string
	message peer.Message
}

func newSchedulerFake(servers map[string]*registry.Server) *schedulerFake {
	f := &schedulerFake{grants: newGrantClient("self", "fd-a")}
	f.grants.send = f.send
	f.grants.noteCache = func(string, []string, []uint64) {}
	f.grants.server = func(id string) *registry.Server { return servers[id] }
	f.grants.view = func() *view {
		return &view{pools: map[string][]poolRoute{"llm": {{name: "pool", scheduler: "other", shards: 1}}}}
	}
	return f
}

func (f *schedulerFake) send(vm string, m peer.Message) {
	f.mu.Lock()
	f.sent = append(f.sent, sentMessage{vm, m})
	f.mu.Unlock()
	request, ok := m.(*schedule.GrantRequest)
	if !ok {
		return
	}
	granted, ok := f.grant(vm, request)
	if !ok {
		return
	}
	go f.grants.deliver(vm, &schedule.GrantReply{Pool: "pool", Request: request.Request.ID, Kind: schedule.ReplyGranted, Granted: granted})
}

// released returns the tickets that were released, by VM.
func (f *schedulerFake) released() map[string][]pool.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]pool.Ticket{}
	for _, s := range f.sent {
		if r, ok := s.message.(*schedule.Release); ok {
			out[s.vm] = append(out[s.vm], r.Ticket)
		}
	}
	return out
}

func engineRequest() dispatch.PlacementRequest {
	return dispatch.PlacementRequest{Request: &dispatch.Request{
		Service:  &catalog.Service{Name: "llm", Engine: &catalog.Engine{}},
		Prompt:   &dispatch.Prompt{Model: "m", Parts: []dispatch.Part{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 5}}, Tokens: 15, MaxOutput: 9},
		Deadline: time.Now().Add(time.Second),
	}}
}

// Guards against requests that fail or wait long because the daemon that
// schedules the pool has ended.
func TestOwnPoolReplacesUnresponsiveScheduler(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(map[string]*registry.Server{"e": {ID: "e"}})
	f.grant = func(vm string, _ *schedule.GrantRequest) (pool.Granted, bool) {
		return pool.Granted{Ticket: 1, Runner: "e"}, vm == "self"
	}
	begin := time.Now()
	for range 3 {
		place, err := f.grants.Place(context.Background(), engineRequest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(place.Server.ID).To(Equal("e"))
	}
	// Only the first request waits for the unresponsive scheduler.
	g.Expect(time.Since(begin)).To(BeNumerically("<", 2*schedulerTimeout+50*time.Millisecond))
}

// Guards against using a grant for a server that is leaving or unknown here, and
// against not releasing its ticket.
func TestUnusableGrantIsReleased(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(map[string]*registry.Server{"leaving": {ID: "leaving", Draining: true}, "e": {ID: "e"}})
	grantable := []string{"leaving", "unknown", "e"}
	f.grant = func(_ string, r *schedule.GrantRequest) (pool.Granted, bool) {
		at := len(r.Request.Avoid)
		return pool.Granted{Ticket: pool.Ticket(at + 1), Runner: grantable[at]}, true
	}
	place, err := f.grants.Place(context.Background(), engineRequest())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(place.Server.ID).To(Equal("e"))
	g.Expect(f.released()).To(Equal(map[string][]pool.Ticket{"other": {1, 2}}))
}

// Guards against a grant that arrives after its request has ended and is held
// until it expires.
func TestLateGrantIsReleased(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(nil)
	f.grants.deliver("other", &schedule.GrantReply{Pool: "pool", Request: "gone", Kind: schedule.ReplyGranted, Granted: pool.Granted{Ticket: 9}})
	g.Expect(f.released()).To(Equal(map[string][]pool.Ticket{"other": {9}}))
}

// Guards against a request that keeps its place in the scheduler's queue after
// its client has disconnected.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(nil)
	f.grant = func(_ string, r *schedule.GrantRequest) (pool.Granted, bool) {
		go f.grants.deliver("other", &schedule.GrantReply{Request: r.Request.ID, Kind: schedule.ReplyQueued})
		return pool.Granted{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := f.grants.Place(ctx, engineRequest())
	g.Expect(err).To(HaveOccurred())
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cancelled := f.sent[len(f.sent)-1].message.(*schedule.GrantCancel)
	g.Expect(cancelled).To(BeTrue())
}

// Guards against equal prompt prefixes that get different hashes, and against
// different prefixes that get the same hash: the KV cache would miss or match
// wrongly.
func TestPoolRequestHashesPartsInOrder(t *testing.T) {
	g := NewWithT(t)
	first := poolRequest("1", "self", "fd-a", engineRequest())
	second := poolRequest("2", "self", "fd-a", engineRequest())
	g.Expect(first.Blocks).To(Equal(second.Blocks))
	g.Expect(first.BlockTokens).To(Equal([]int{10, 5}))
	request := engineRequest()
	request.Request.Prompt.Parts[0].ID = "x"
	third := poolRequest("3", "self", "fd-a", request)
	g.Expect(third.Blocks[1]).NotTo(Equal(first.Blocks[1]))
}

// Guards against an objective or rank that is lost between the configuration and the
// pool, and against absolute times in messages between VMs whose clocks differ.
func TestObjectiveAndRankReachThePool(t *testing.T) {
	g := NewWithT(t)
	p := engineRequest()
	p.Request.Arrived, p.Request.Priority = time.Now(), 3
	g.Expect(poolRequest("1", "self", "fd-a", p).Objective).To(BeZero())
	p.Request.Route = &catalog.Route{Objective: 800 * time.Millisecond}
	request := poolRequest("1", "self", "fd-a", p)
	g.Expect(request.Rank).To(Equal(3))
	g.Expect(request.Objective).To(Equal(p.Request.Arrived.Add(800 * time.Millisecond)))
	m := schedule.NewGrantRequest("p", request)
	g.Expect(m.Request.Objective).To(BeZero())
	g.Expect(m.Objective).To(And(BeNumerically(">", 0), BeNumerically("<=", 800*time.Millisecond)))
	g.Expect(poolConfig(&catalog.Engine{}, SchedulingSettings{}).Urgency).To(BeFalse())
	g.Expect(poolConfig(&catalog.Engine{}, SchedulingSettings{Urgency: true}).Urgency).To(BeTrue())
}

// Guards against a message that two goroutines use at the same time: the control
// goroutine changes a request that it receives, while the outbox of the silent
// scheduler still encodes it. The race detector reports it.
func TestEachSchedulerGetsItsOwnMessage(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(map[string]*registry.Server{"e": {ID: "e"}})
	f.grant = func(vm string, _ *schedule.GrantRequest) (pool.Granted, bool) {
		return pool.Granted{Ticket: 1, Runner: "e"}, vm == "self"
	}
	request := engineRequest()
	place, err := f.grants.Place(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(place.Server.ID).To(Equal("e"))
	var sent []*schedule.GrantRequest
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sent {
		if m, ok := s.message.(*schedule.GrantRequest); ok {
			sent = append(sent, m)
		}
	}
	g.Expect(sent).To(HaveLen(2))
	g.Expect(sent[0]).NotTo(BeIdenticalTo(sent[1]))
	g.Expect(sent[1].Budget).To(BeNumerically("<=", sent[0].Budget-schedulerTimeout), "time left at the second scheduler")
}

// Guards against grants that hold their place until they expire: the grant of a
// scheduler that answers after the request was placed elsewhere, and a grant that
// arrives in the instant in which the request ends.
func TestUnusedGrantsAreReleased(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(map[string]*registry.Server{"e": {ID: "e"}})
	f.grant = func(vm string, r *schedule.GrantRequest) (pool.Granted, bool) {
		if vm == "self" {
			f.grants.deliver("other", &schedule.GrantReply{Pool: "pool", Request: r.Request.ID, Kind: schedule.ReplyGranted, Granted: pool.Granted{Ticket: 7, Runner: "e"}})
		}
		return pool.Granted{Ticket: 1, Runner: "e"}, vm == "self"
	}
	place, err := f.grants.Place(context.Background(), engineRequest())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(place.Ticket.(*ticket).scheduler).To(Equal("self"))
	g.Expect(place.Ticket.(*ticket).id).To(Equal(pool.Ticket(1)))
	g.Expect(f.released()).To(Equal(map[string][]pool.Ticket{"other": {7}}))

	f.grants.registerRequest("ends", "other")
	f.grants.deliver("other", &schedule.GrantReply{Pool: "pool", Request: "ends", Kind: schedule.ReplyGranted, Granted: pool.Granted{Ticket: 8}})
	f.grants.unregisterRequest("ends")
	g.Expect(f.released()).To(Equal(map[string][]pool.Ticket{"other": {7, 8}}))
}

// Guards against a request that waits until its deadline because the daemon that has
// it in its queue stops or ends, or never scheduled the pool.
func TestQueuedRequestIsPlacedElsewhereWhenItsSchedulerLeaves(t *testing.T) {
	for name, leave := range map[string]func(f *schedulerFake, id string){
		"stops or ends": func(f *schedulerFake, _ string) { f.grants.schedulerLeft("other") },
		"says so": func(f *schedulerFake, id string) {
			f.grants.deliver("other", &schedule.GrantReply{Pool: "pool", Request: id, Kind: schedule.ReplyMoved})
		},
	} {
		for _, next := range []string{"other", "third"} {
			t.Run(fmt.Sprint(name, ", then ", next), func(t *testing.T) {
				g := NewWithT(t)
				f := newSchedulerFake(map[string]*registry.Server{"e": {ID: "e"}})
				queued := make(chan string, 1)
				f.grant = func(vm string, r *schedule.GrantRequest) (pool.Granted, bool) {
					if vm != "other" {
						return pool.Granted{Ticket: 1, Runner: "e"}, true
					}
					f.grants.deliver(vm, &schedule.GrantReply{Request: r.Request.ID, Kind: schedule.ReplyQueued})
					queued <- r.Request.ID
					return pool.Granted{}, false
				}
				go func() {
					id := <-queued
					time.Sleep(2 * schedulerTimeout)
					f.grants.view = func() *view {
						return &view{pools: map[string][]poolRoute{"llm": {{name: "pool", scheduler: next, shards: 1}}}}
					}
					leave(f, id)
				}()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				place, err := f.grants.Place(ctx, engineRequest())
				g.Expect(err).NotTo(HaveOccurred())
				placedBy := map[string]string{"other": "self", "third": "third"}[next]
				g.Expect(place.Ticket.(*ticket).scheduler).To(Equal(placedBy))
				f.mu.Lock()
				defer f.mu.Unlock()
				cancelled := slices.ContainsFunc(f.sent, func(s sentMessage) bool {
					_, ok := s.message.(*schedule.GrantCancel)
					return ok && s.vm == "other"
				})
				g.Expect(cancelled).To(BeTrue())
			})
		}
	}
}

// Guards against a request that is asked for again and again when no daemon schedules
// its pool.
func TestRequestWithoutAnySchedulerIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newSchedulerFake(nil)
	f.grant = func(vm string, r *schedule.GrantRequest) (pool.Granted, bool) {
		go f.grants.deliver(vm, &schedule.GrantReply{Request: r.Request.ID, Kind: schedule.ReplyMoved})
		return pool.Granted{}, false
	}
	_, err := f.grants.Place(t.Context(), engineRequest())
	var refused *dispatch.Failure
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Run).To(Equal(backend.RunNever))
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(len(f.sent)).To(BeNumerically("<=", 4))
}

// Guards against requests that stay with a daemon after it has announced a planned
// stop, has ended, or was restarted.
func TestControlTellsWhichSchedulersLeft(t *testing.T) {
	g := NewWithT(t)
	sc := newScaleControl(t, 3, 5, 1)
	var left []string
	sc.control.schedulerLeft = func(vm string) { left = append(left, vm) }
	sc.handle(sc.now, peerMessage{from: "vm-1", message: &Heartbeat{Incarnation: "vm-1.a", Stopping: true}})
	sc.settle()
	g.Expect(left).To(ConsistOf("vm-1"))
	sc.apply(feedMembers, hosting.KeyedRecord{Key: "vm-2", Value: encodeJSON(t, memberEntry{
		Incarnation: "vm-2.b", Addr: "10.0.9.9:7", FailureDomain: "fd-2", Cores: 0.8, Certificate: strings.Repeat("cd", 32),
	})})
	g.Expect(left).To(ConsistOf("vm-1", "vm-2"))
	left = nil
	for range 2 * member.HeartbeatTimeout / tickInterval {
		sc.now = sc.now.Add(tickInterval)
		sc.memberActions(sc.members.Step(sc.now, member.Tick{}))
	}
	sc.settle()
	g.Expect(left).To(ConsistOf("vm-2"))
	sc.control.stop()
	sc.settle()
	g.Expect(left).NotTo(ContainElement("vm-0"), "requests of its own clients")
}
