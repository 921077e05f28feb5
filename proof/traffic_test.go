package proof

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clients = 16
	// attempts is the maximum number of attempts of one piece of work.
	attempts    = 4
	callTimeout = 20 * time.Second
	// thinkTime is the mean pause of a client between two pieces of work and the pause
	// between two attempts.
	thinkTime = 60 * time.Millisecond
)

// kind is the kind of a call.
type kind string

// kindStream and kindUnstreamed are completions, kindStamp and kindKeyed
// non-idempotent requests without and with an idempotency key, kindStatus idempotent
// requests, and kindOpen requests without a key to an open service.
const (
	kindStream     kind = "stream"
	kindUnstreamed kind = "whole"
	kindStamp      kind = "stamp"
	kindKeyed      kind = "keyed"
	kindStatus     kind = "status"
	kindOpen       kind = "open"
)

// outcome is the outcome of a call as the client sees it.
type outcome string

const (
	outcomeComplete outcome = "whole"
	outcomeRefused  outcome = "refused"
	// outcomeBroken is a failure after which the request may have reached a daemon.
	outcomeBroken outcome = "broken"
	// outcomeNotSent is a failure to connect.
	outcomeNotSent  outcome = "unsent"
	outcomeCanceled outcome = "left"
	outcomeWrong    outcome = "wrong"
)

// call is one attempt of a client and its outcome.
type call struct {
	kind            kind
	customer, key   string
	marker, idemKey string
	batch           bool
	tokens          int
	cancelAfter     time.Duration
	vm, url         string
	round           int

	begin, end        time.Time
	outcome           outcome
	status            int
	code, run, detail string
	requestID         string
	stamp             int64
	// duringFault is set if a fault was active at any time during the call.
	duringFault bool
}

// traffic runs clients with random calls until it is stopped, and records the calls.
type traffic struct {
	testbed *testbed
	// unpooled opens a connection for each call, pooled reuses connections.
	unpooled *http.Client
	pooled   *http.Client
	stop     chan struct{}
	done     sync.WaitGroup
	round    atomic.Int64
	// faultTransitions counts the starts and ends of faults. It is odd while a fault is
	// active or the daemons start.
	faultTransitions atomic.Int64
	serial           atomic.Int64

	mu    sync.Mutex
	calls []*call
	// pending holds the markers of work that may get further attempts.
	pending map[string]bool
}

// customers maps the customers of the configuration to their keys.
var customers = map[string][]string{
	"harbour": {"key-harbour-1", "key-harbour-2"},
	"council": {"key-council-1"},
	"depot":   {"key-depot-1"},
}

var customerNames = []string{"harbour", "council", "depot"}

func startTraffic(b *testbed, seed uint64) *traffic {
	t := &traffic{testbed: b, stop: make(chan struct{}), pending: map[string]bool{}}
	t.unpooled = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	t.pooled = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients, IdleConnTimeout: 300 * time.Millisecond}}
	for i := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		t.done.Go(func() { t.runClient(rng) })
	}
	return t
}

func (t *traffic) finish() {
	close(t.stop)
	t.done.Wait()
}

func (t *traffic) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

func (t *traffic) runClient(rng *rand.Rand) {
	for !t.stopped() {
		t.sendRandom(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * thinkTime))))
	}
}

// marker returns a unique name for a piece of work. No marker is a prefix of another
// one.
func (t *traffic) marker() string { return fmt.Sprintf("w%07d;", t.serial.Add(1)) }

// sendRandom performs one random piece of work with its retries.
func (t *traffic) sendRandom(rng *rand.Rand) {
	customer := customerNames[rng.IntN(len(customerNames))]
	keys := customers[customer]
	c := call{customer: customer, key: keys[rng.IntN(len(keys))]}
	switch n := rng.IntN(100); {
	case n < 30:
		c.kind, c.tokens = kindStream, 5+rng.IntN(60)
	case n < 45:
		c.kind, c.tokens = kindUnstreamed, 5+rng.IntN(40)
	case n < 60:
		c.kind = kindStamp
	case n < 80:
		c.kind = kindKeyed
	case n < 92:
		c.kind = kindStatus
	default:
		c.kind, c.customer, c.key = kindOpen, "", ""
	}
	if (c.kind == kindStream || c.kind == kindUnstreamed) && rng.IntN(4) == 0 {
		c.batch = true
		c.tokens += 100
	}
	if rng.IntN(12) == 0 {
		c.cancelAfter = time.Duration(1+rng.IntN(300)) * time.Millisecond
	}
	if c.kind == kindKeyed {
		t.sendKeyed(rng, c)
		return
	}
	t.retry(rng, c)
}

// retry repeats a call on other daemons until it succeeds, as long as a repetition
// is safe.
func (t *traffic) retry(rng *rand.Rand, c call) {
	last := ""
	for range attempts {
		c.marker = t.marker()
		done := t.attempt(rng, c, last)
		last = done.vm
		safe := done.outcome == outcomeNotSent || done.run == "not_run" || c.kind != kindStamp
		if done.outcome == outcomeComplete || done.outcome == outcomeCanceled || !safe || t.stopped() {
			return
		}
		time.Sleep(thinkTime)
	}
}

// sendKeyed repeats a request with the same idempotency key until it succeeds. One
// in five requests is first sent to two daemons at once.
func (t *traffic) sendKeyed(rng *rand.Rand, c call) {
	c.marker = t.marker()
	c.idemKey = "idem-" + c.marker[:len(c.marker)-1]
	t.setPending(c.marker, true)
	defer t.setPending(c.marker, false)
	if rng.IntN(5) == 0 {
		other := rand.New(rand.NewPCG(rng.Uint64(), 7))
		var both sync.WaitGroup
		both.Go(func() { t.attempt(other, c, "") })
		t.attempt(rng, c, "")
		both.Wait()
	}
	last := ""
	for range attempts {
		done := t.attempt(rng, c, last)
		last = done.vm
		if done.outcome == outcomeComplete || done.run == "unknown" && done.status != 0 || t.stopped() {
			return
		}
		c.cancelAfter = 0
		time.Sleep(thinkTime)
	}
}

// attempt performs one attempt of a call on a ready daemon, if possible another one
// than the last.
func (t *traffic) attempt(rng *rand.Rand, c call, last string) *call {
	m := t.testbed.pick(rng, last)
	c.vm, c.url = m.vm, m.url()
	t.perform(&c)
	return &c
}

// perform runs one call and records it.
func (t *traffic) perform(c *call) {
	c.round = int(t.round.Load())
	before := t.faultTransitions.Load()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c.cancelAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.cancelAfter)
		defer cancel()
	}
	client := t.unpooled
	if c.kind != kindStamp && c.kind != kindKeyed {
		client = t.pooled
	}
	c.begin = time.Now()
	c.send(ctx, client)
	c.end = time.Now()
	if c.cancelAfter > 0 && ctx.Err() != nil && c.outcome != outcomeComplete {
		c.outcome = outcomeCanceled
	}
	after := t.faultTransitions.Load()
	c.duringFault = before != after || before%2 == 1
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

func (t *traffic) setPending(marker string, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pending {
		t.pending[marker] = true
	} else {
		delete(t.pending, marker)
	}
}

// all returns the recorded calls and the markers of pending work.
func (t *traffic) all() ([]*call, map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*call{}, t.calls...), maps.Clone(t.pending)
}

// pick returns a random daemon that was ready at the last poll, as a load balancer
// does. Without a ready one it returns any daemon.
func (b *testbed) pick(rng *rand.Rand, last string) *member {
	var ready []*member
	for _, m := range b.daemons {
		m.mu.Lock()
		if m.ready && m.vm != last {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if len(ready) == 0 {
		ready = b.daemons
	}
	return ready[rng.IntN(len(ready))]
}
