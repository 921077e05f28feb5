package versionpin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	simDaemons = 4
	simSeeds   = 8
	// simVersions is the largest number of versions that serve at once.
	simVersions = 3
	simService  = "llm"
	// simStream is the longest time of a stream, and simTakeUp the time after its begin
	// within which clients take it up.
	simStream = 6 * time.Second
	simTakeUp = 2 * simStream
	// simLag is the longest time for which a daemon's list of servers is behind.
	simLag = 2 * time.Second
)

// simulation runs the daemons of a fleet against a fakeStore, and knows at which version
// each stream began.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	store *fakeStore
	work  sync.WaitGroup

	mu      sync.Mutex
	daemons []*simDaemon
	// serving holds the versions of servers.
	serving  map[Version]bool
	versions int
	began    []simBegun
	requests int
	// copied is a copy of the store's topics.
	copied  map[hosting.Topic][]fakeRecord
	stopped bool

	notBegun, answered, unknown, wrong int
}

type simBegun struct {
	request, version string
	at               time.Time
}

type simDaemon struct {
	*Pins
	cancel context.CancelFunc
	ctx    context.Context
	list   map[Version]bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	return newSimulationOf(t, seed, simDaemons)
}

func newSimulationOf(t *testing.T, seed uint64, daemons int) *simulation {
	s := &simulation{t: t, daemons: make([]*simDaemon, daemons), rng: rand.New(rand.NewPCG(seed, 0)), store: newFakeStore(), serving: map[Version]bool{}, copied: map[hosting.Topic][]fakeRecord{}}
	s.release()
	for i := range s.daemons {
		s.start(i)
	}
	time.Sleep(time.Second)
	return s
}

func (s *simulation) start(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemons[i] != nil || s.stopped {
		return
	}
	vm := fmt.Sprint("vm-", i)
	d := &simDaemon{Pins: New(Config{
		Topics: storeClient{s.store, vm}, VersionTopic: hosting.Topic{Name: "versions"}, StreamTopic: hosting.Topic{Name: "streams"},
		VM: vm, Events: event.NewRecorder(hlc.New(time.Now), vm, nil, zerolog.New(io.Discard)), Daemons: func() int { return len(s.daemons) },
	})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.list = copyOf(s.serving)
	s.daemons[i] = d
	s.work.Go(func() { d.Run(d.ctx); d.Events.Close() })
	s.work.Go(d.follow)
	s.work.Go(func() {
		for d.ctx.Err() == nil {
			s.mu.Lock()
			list := d.list
			s.mu.Unlock()
			d.SetServing(list, simStream, true)
			time.Sleep(time.Second)
		}
	})
}

// follow passes the topic of versions on to a daemon.
func (d *simDaemon) follow() {
	for d.ctx.Err() == nil {
		begin := time.Now()
		page, err := d.Topics.Newest(d.ctx, d.VersionTopic)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for end := page.End; err == nil && page.End == end; begin = time.Now() {
			d.SetVersions(page, begin)
			var next hosting.KeyedPage
			next, err = d.Topics.Follow(d.ctx, d.VersionTopic, end, 8*time.Second)
			page.End = next.End
		}
	}
}

func copyOf(set map[Version]bool) map[Version]bool {
	out := map[Version]bool{}
	for v := range set {
		out[v] = true
	}
	return out
}

func (s *simulation) kill(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemons[i] != nil {
		s.daemons[i].cancel()
		s.daemons[i] = nil
	}
}

// stop ends the simulation.
func (s *simulation) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for i := range s.daemons {
		s.kill(i)
	}
	s.work.Wait()
	time.Sleep(10 * time.Second) // Calls to the store end, and restarts that are due.
}

// release adds servers of a new version.
func (s *simulation) release() {
	s.mu.Lock()
	full := len(s.serving) == simVersions
	s.mu.Unlock()
	if full {
		s.retire()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions++
	s.serving[Version{simService, fmt.Sprint("v", s.versions)}] = true
	s.announce()
}

// retire removes the servers of a version, unless it is the only one.
func (s *simulation) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.serving {
		if len(s.serving) > 1 {
			delete(s.serving, v)
			break
		}
	}
	s.announce()
}

// announce passes the list of servers to the daemons, with a delay. The caller holds mu.
func (s *simulation) announce() {
	for _, d := range s.daemons {
		if d == nil {
			continue
		}
		list := copyOf(s.serving)
		time.AfterFunc(time.Duration(s.rng.Int64N(int64(simLag))), func() {
			s.mu.Lock()
			d.list = list
			s.mu.Unlock()
			d.SetServing(list, simStream, true)
		})
	}
}

// begin begins a stream at a daemon.
func (s *simulation) begin(i int) {
	s.mu.Lock()
	d := s.daemons[i]
	if d == nil || len(d.list) == 0 {
		s.mu.Unlock()
		return
	}
	s.requests++
	request := fmt.Sprint("r", s.requests)
	var version Version
	for v := range d.list {
		version = v
		if s.rng.IntN(2) == 0 {
			break
		}
	}
	s.mu.Unlock()
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		defer cancel()
		err := d.Confirm(ctx, simService, version.Name)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || d.ctx.Err() != nil {
			s.notBegun++
			return
		}
		d.Pin(simService, request, version.Name)
		s.began = append(s.began, simBegun{request, version.Name, time.Now()})
	})
}

// takeUp lets a client take up a recent stream, or the newest one, at a daemon.
func (s *simulation) takeUp(i int, newest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.began) > 0 && time.Since(s.began[0].at) > simTakeUp {
		s.began = s.began[1:]
	}
	d := s.daemons[i]
	if d == nil || len(s.began) == 0 {
		return
	}
	stream := s.began[s.rng.IntN(len(s.began))]
	if newest {
		stream = s.began[len(s.began)-1]
	}
	s.work.Go(func() {
		version, err := d.Lookup(d.ctx, simService, stream.request)
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case d.ctx.Err() != nil:
		case err != nil:
			s.unknown++
		case version != stream.version:
			s.wrong++
			s.t.Errorf("stream %s began at %s, the look-up says %s", stream.request, stream.version, version)
		default:
			s.answered++
		}
	})
}

// load begins and takes up streams for a while.
func (s *simulation) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.begin(s.rng.IntN(len(s.daemons)))
		s.takeUp(s.rng.IntN(len(s.daemons)), s.rng.IntN(2) == 0)
	}
}

// killAll kills all daemons at once and starts them again after a pause.
func (s *simulation) killAll(pause time.Duration) {
	for i := range s.daemons {
		s.kill(i)
	}
	time.Sleep(pause)
	for i := range s.daemons {
		s.start(i)
	}
}

// disturb lets one random thing happen.
func (s *simulation) disturb(restores bool) {
	pause := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	i := s.rng.IntN(len(s.daemons))
	switch s.rng.IntN(12) {
	case 0, 1:
		s.release()
	case 10, 11:
		// The daemons end while they get to know a version.
		s.store.set(func() { s.store.fault = fakeFault(s.rng.IntN(4)) })
		s.release()
		s.load(time.Duration(s.rng.Int64N(int64(simLag))))
		s.store.set(func() { s.store.fault = faultNone })
		s.killAll(pause / 10)
	case 2, 3:
		s.retire()
	case 4:
		s.kill(i)
		time.AfterFunc(pause, func() { s.start(i) })
	case 5:
		s.killAll(pause)
	case 6:
		vm := fmt.Sprint("vm-", i)
		s.store.set(func() { s.store.cut[vm] = true })
		time.AfterFunc(2*pause, func() { s.store.set(func() { delete(s.store.cut, vm) }) })
	case 7, 8:
		fault := fakeFault(1 + s.rng.IntN(3))
		s.store.set(func() { s.store.fault = fault })
		time.AfterFunc(pause, func() { s.store.set(func() { s.store.fault = faultNone }) })
	case 9:
		if !restores {
			return
		}
		s.store.set(func() {
			s.store.topics, s.copied = s.copied, s.store.copyTopics()
			s.store.history++
		})
	}
}

// Guards against streams that go on at another version than the one that began them,
// whatever fails.
func TestLookupNeverNamesAnotherVersion(t *testing.T) {
	var answered, unknown int
	for seed := range uint64(simSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed)
			defer s.stop()
			for range 20 {
				s.load(time.Duration(s.rng.Int64N(int64(10 * time.Second))))
				if s.rng.IntN(8) == 0 {
					s.load(2 * (retireMargin + removeAfter))
				}
				s.disturb(seed%2 == 1)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.wrong > 0 {
				t.Errorf("seed %d", seed)
			}
			answered, unknown = answered+s.answered, unknown+s.unknown
		})
	}
	t.Logf("%d look-ups answered, %d not", answered, unknown)
	NewWithT(t).Expect(answered).To(BeNumerically(">", unknown))
}

// Guards against refusing most streams that clients take up after all daemons were
// killed at once, with one version and with two.
func TestRestartedDaemonsKnowMostStreams(t *testing.T) {
	for versions := 1; versions <= 2; versions++ {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(t, 1)
			defer s.stop()
			for range versions - 1 {
				s.release()
			}
			s.load(10 * time.Second)
			s.killAll(time.Second)
			s.mu.Lock()
			s.answered, s.unknown = 0, 0
			s.mu.Unlock()
			for range 300 {
				time.Sleep(5 * time.Millisecond)
				s.takeUp(s.rng.IntN(len(s.daemons)), false)
			}
			time.Sleep(2 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("%d versions: %d look-ups answered, %d not", versions, s.answered, s.unknown)
			g.Expect(s.unknown).To(BeNumerically("<", (s.answered+s.unknown)/10))
		})
	}
}
