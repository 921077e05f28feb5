package edge

import (
	"container/heap"
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/dispatch"
	"github.com/mimosakeel/mimosakeel/registry"
)

// plainLoad is a load of requests that many daemons place on a few plain servers.
type plainLoad struct {
	daemons int
	// perSecond is the rate of all requests, work the mean and sigma the shape of the
	// lognormal distribution of their work; 1% takes five times as long.
	perSecond float64
	work      time.Duration
	sigma     float64
	speeds    []float64
	// slowed is the server that takes five times as long in the second third of the
	// run, and failing the one that fails at once then; -1 for none.
	slowed, failing int
	length          time.Duration
	// shift exchanges the work of the two routes, one of which takes a third of the
	// work of the other, halfway.
	shift bool
	// lost is the share of reports that is lost, delay their time on the way, and
	// noReports switches them off. falsify changes those of the first falsifiers daemons.
	lost       float64
	delay      time.Duration
	noReports  bool
	falsify    func(report []byte, servers []*loadServer)
	falsifiers int
}

const (
	loadSlots     = 6
	loadQueue     = 12
	loadDeadline  = 2500 * time.Millisecond
	loadRoundTrip = 4 * time.Millisecond
)

// loadRequest is one request and what it costs.
type loadRequest struct {
	request  *dispatch.Request
	daemon   int
	arrived  time.Time
	work     float64
	place    *dispatch.Placement
	server   int
	avoid    []string
	attempts int
}

type loadServer struct {
	info    *registry.Server
	speed   float64
	factor  float64
	failing bool
	running int
	// left is the end of each running request, and queue holds the waiting ones.
	ends  []time.Time
	queue []*loadRequest
}

// loadEvent is a function that runs at a time.
type loadEvent struct {
	at  time.Time
	seq int
	run func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int { return len(h) }
func (h loadEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h loadEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadRun plays a load with one policy in virtual time.
type loadRun struct {
	plainLoad
	random  *rand.Rand
	now     time.Time
	seq     int
	events  loadEvents
	servers []*loadServer
	daemons []*plainScheduler
	// peers are the neighbours of each daemon in four rings of random order, as those of
	// heartbeats.
	peers [][]int
	// pick replaces the daemons' choice; nil for the schedulers themselves.
	pick  func(r *loadRequest) int
	turn  int
	waits []float64
	// most is the largest share of the requests within 100 ms that went to one server
	// while at least 20 arrived.
	most       float64
	window     []int
	windowFrom time.Time
	failed     int
}

// result of a run: the mean and the quantiles of the wait in milliseconds. The wait is
// the time beyond that on an idle server of the highest speed. A request that fails
// counts with its deadline.
type loadResult struct {
	mean, p50, p99 float64
	failed         int
	most           float64
}

func (r loadResult) String() string {
	return fmt.Sprintf("mean %.1f ms, p50 %.1f ms, p99 %.0f ms, failed %d, largest share %.2f", r.mean, r.p50, r.p99, r.failed, r.most)
}

// play plays a load with a policy: "today", "cost", "round_robin", "two_choices",
// "least_requests" (exact counts of all daemons) or "known" (true costs).
func play(l plainLoad, policy string, seed uint64) loadResult {
	run := &loadRun{plainLoad: l, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000, 0)}
	run.window = make([]int, len(l.speeds))
	var list []*registry.Server
	for i, speed := range l.speeds {
		info := &registry.Server{ID: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("fd-", i), Slots: loadSlots}
		run.servers = append(run.servers, &loadServer{info: info, speed: speed, factor: 1})
		list = append(list, info)
	}
	// The policies draw from a generator of their own, so that all get the same load.
	own := rand.New(rand.NewPCG(seed, 2))
	for i := range l.daemons {
		p := newPlainScheduler(fmt.Sprint("fd-", i%3))
		p.now, p.uniform = func() time.Time { return run.now }, own.Float64
		p.servers = func(string) []*registry.Server { return list }
		if policy == "cost" {
			p.costs = newPlainCosts()
			p.costs.random = own.ExpFloat64
		}
		run.daemons = append(run.daemons, p)
	}
	run.peers = make([][]int, l.daemons)
	for range 4 {
		ring := own.Perm(l.daemons)
		for i, a := range ring {
			b := ring[(i+1)%len(ring)]
			run.peers[a], run.peers[b] = append(run.peers[a], b), append(run.peers[b], a)
		}
	}
	switch policy {
	case "round_robin":
		run.pick = func(*loadRequest) int { run.turn++; return run.turn % len(run.servers) }
	case "two_choices":
		run.pick = func(r *loadRequest) int {
			a, b := own.IntN(len(run.servers)), own.IntN(len(run.servers)-1)
			if b >= a {
				b++
			}
			if run.outstanding(b) < run.outstanding(a) {
				return b
			}
			return a
		}
	case "least_requests":
		run.pick = func(*loadRequest) int {
			return run.lowest(func(i int) float64 { return float64(run.outstanding(i)) + 0.01*own.Float64() })
		}
	case "known":
		run.pick = func(r *loadRequest) int { return run.lowest(func(i int) float64 { return run.finish(i, r.work) }) }
	}
	run.start(policy == "cost" && !l.noReports)
	for len(run.events) > 0 {
		ev := heap.Pop(&run.events).(loadEvent)
		run.now = ev.at
		ev.run()
	}
	return run.result()
}

func (l *loadRun) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, loadEvent{at: l.now.Add(d), seq: l.seq, run: run})
}

func (l *loadRun) start(reports bool) {
	l.windowFrom = l.now
	end := l.now.Add(l.length)
	third := l.length / 3
	l.after(third, func() { l.disturb(5, true) })
	l.after(2*third, func() { l.disturb(1, false) })
	var arrive func()
	arrive = func() {
		if l.now.After(end) {
			return
		}
		l.arrive(end)
		l.after(time.Duration(l.random.ExpFloat64()/l.perSecond*float64(time.Second)), arrive)
	}
	l.after(0, arrive)
	for i := range l.daemons {
		var tick func()
		tick = func() {
			if l.now.After(end) {
				return
			}
			l.report(i, reports)
			l.after(workReportInterval, tick)
		}
		l.after(time.Duration(l.random.Float64()*float64(workReportInterval)), tick)
	}
}

func (l *loadRun) disturb(factor float64, failing bool) {
	if l.slowed >= 0 {
		l.servers[l.slowed].factor = factor
	}
	if l.failing >= 0 {
		l.servers[l.failing].failing = failing
	}
}

func (l *loadRun) report(from int, reports bool) {
	p := l.daemons[from]
	if p.costs == nil {
		return
	}
	report := p.report(l.now, len(l.daemons), reports)
	if report == nil || l.random.Float64() < l.lost {
		return
	}
	if from < l.falsifiers {
		l.falsify(report, l.servers)
	}
	to := l.peers[from][l.random.IntN(len(l.peers[from]))]
	l.after(l.delay+3*time.Millisecond, func() { l.daemons[to].merge(l.now, report) })
}

// The numbers of a server in a report: its ID, then six of four bytes.
const (
	reportEntry  = 32
	reportOpen   = 12
	reportWeight = 20
	reportLogSum = 24
)

func inverted(report []byte, _ []*loadServer) {
	for ; len(report) > 0; report = report[reportEntry:] {
		report[reportLogSum+3] ^= 0x80
	}
}

// allSlow is what a daemon without processor time reports.
func allSlow(report []byte, _ []*loadServer) {
	for ; len(report) > 0; report = report[reportEntry:] {
		weight := math.Float32frombits(binary.LittleEndian.Uint32(report[reportWeight:]))
		binary.LittleEndian.PutUint32(report[reportLogSum:], math.Float32bits(2.3*weight))
	}
}

func scrambled(report []byte, _ []*loadServer) {
	for i := range report {
		if i%reportEntry >= 8 {
			report[i] = byte(rand.IntN(256))
		}
	}
}

func withoutWork(report []byte, _ []*loadServer) {
	for ; len(report) > 0; report = report[reportEntry:] {
		clear(report[reportOpen:reportWeight])
	}
}

func (l *loadRun) arrive(end time.Time) {
	work := l.work.Seconds() * math.Exp(l.sigma*l.random.NormFloat64()-l.sigma*l.sigma/2)
	if l.random.IntN(100) == 0 {
		work *= 5
	}
	route := l.random.IntN(2)
	cheap := 0
	if l.shift && end.Sub(l.now) < l.length/2 {
		cheap = 1
	}
	if route == cheap {
		work /= 3
	}
	r := &loadRequest{daemon: l.random.IntN(len(l.daemons)), arrived: l.now, work: work}
	r.request = &dispatch.Request{Route: &catalog.Route{Name: fmt.Sprint("r", route)}, Service: &catalog.Service{Name: "desk"}, Customer: "c"}
	l.attempt(r)
}

func (l *loadRun) attempt(r *loadRequest) {
	r.attempts++
	if l.pick != nil {
		r.server = l.pick(r)
	} else {
		place, err := l.daemons[r.daemon].Place(context.Background(), dispatch.PlacementRequest{Request: r.request, Avoid: r.avoid})
		if err != nil {
			l.finished(r, false)
			return
		}
		r.place = place
		r.server = slices.IndexFunc(l.servers, func(s *loadServer) bool { return s.info == place.Server })
	}
	l.countShare(r.server)
	l.after(loadRoundTrip/2, func() { l.reach(r) })
}

// countShare tracks the largest share of one server in a window of 100 ms.
func (l *loadRun) countShare(server int) {
	if l.now.Sub(l.windowFrom) > 100*time.Millisecond {
		total := 0
		for _, n := range l.window {
			total += n
		}
		if total >= 20 {
			l.most = max(l.most, float64(slices.Max(l.window))/float64(total))
		}
		clear(l.window)
		l.windowFrom = l.now
	}
	l.window[server]++
}

func (l *loadRun) reach(r *loadRequest) {
	s := l.servers[r.server]
	if s.failing || len(s.queue) >= loadQueue {
		l.after(loadRoundTrip/2, func() { l.answer(r, false) })
		return
	}
	s.queue = append(s.queue, r)
	l.admit(s)
}

func (l *loadRun) admit(s *loadServer) {
	for s.running < loadSlots && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		took := time.Duration(r.work / s.speed * s.factor * float64(time.Second))
		ends := l.now.Add(took)
		s.ends = append(s.ends, ends)
		l.after(took, func() {
			s.running--
			s.ends = slices.DeleteFunc(s.ends, ends.Equal)
			l.admit(s)
			l.after(loadRoundTrip/2, func() { l.answer(r, true) })
		})
	}
}

func (l *loadRun) answer(r *loadRequest, ok bool) {
	s := l.servers[r.server]
	if r.place != nil {
		result := dispatch.Result{OK: ok}
		if !ok {
			result.Failed, result.Reason = s.info, "server_error"
		} else {
			l.daemons[r.daemon].Started(r.place)
		}
		l.daemons[r.daemon].Done(r.place, result)
	}
	if ok || r.attempts == 2 {
		l.finished(r, ok)
		return
	}
	r.avoid = append(r.avoid, s.info.ID)
	l.attempt(r)
}

func (l *loadRun) finished(r *loadRequest, ok bool) {
	took := l.now.Sub(r.arrived)
	if !ok {
		l.failed++
		took = loadDeadline
	}
	took = min(took, loadDeadline)
	l.waits = append(l.waits, max(took.Seconds()-r.work/slices.Max(l.speeds), 0)*1e3)
}

// outstanding returns the requests on a server, without those on the way.
func (l *loadRun) outstanding(i int) int { return l.servers[i].running + len(l.servers[i].queue) }

// finish returns when a server would have finished a request, from its true state.
func (l *loadRun) finish(i int, work float64) float64 {
	s := l.servers[i]
	if s.failing || len(s.queue) >= loadQueue {
		return math.Inf(1)
	}
	var free [loadSlots]float64
	for k, end := range s.ends {
		free[k] = end.Sub(l.now).Seconds()
	}
	for _, waiting := range s.queue {
		k := slices.Index(free[:], slices.Min(free[:]))
		free[k] += waiting.work / s.speed * s.factor
	}
	return slices.Min(free[:]) + work/s.speed*s.factor
}

func (l *loadRun) lowest(cost func(i int) float64) int {
	best, lowest := 0, math.Inf(1)
	for i := range l.servers {
		if c := cost(i); c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

func (l *loadRun) result() loadResult {
	slices.Sort(l.waits)
	sum := 0.0
	for _, w := range l.waits {
		sum += w
	}
	n := len(l.waits)
	return loadResult{mean: sum / float64(n), p50: l.waits[n/2], p99: l.waits[n*99/100], failed: l.failed, most: l.most}
}
