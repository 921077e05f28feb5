package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	usageWindow = 5 * time.Second
	// frozenFor is the time for which a machine stands still.
	frozenFor = 5 * time.Second
	// copyAge is the age of the copy from which the store continues, and awayFor the time
	// for which it is away before.
	copyAge = 5 * time.Second
	awayFor = 300 * time.Millisecond
	// copyEvery is the interval between two copies.
	copyEvery = 250 * time.Millisecond
	// dutyName is the name by which daemons rank the challengers for the lease.
	dutyName = "duties"
)

// lease is the part of the lease record that the case reads.
type lease struct {
	VM    string `json:"vm"`
	Nonce int64  `json:"nonce"`
}

// leaseWatch knows the newest record of the holder and when it appeared. Each of its
// records renews the lease.
type leaseWatch struct {
	store *standin.Store
	lease lease
	since time.Time
}

// poll reads the newest records.
func (w *leaseWatch) poll() {
	for _, key := range []string{names.Lease, names.Usage} {
		var l lease
		if json.Unmarshal(w.store.Newest(names.Duties, key), &l) == nil && l.Nonce > 0 && (l.Nonce > w.lease.Nonce || l.VM != w.lease.VM && key == names.Lease) {
			w.lease, w.since = l, time.Now()
		}
	}
}

// until polls until done returns true, or the time has passed.
func (w *leaseWatch) until(within time.Duration, done func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if w.poll(); done() {
			return true
		}
	}
	return false
}

// copies keeps copies of the store.
type copies struct {
	mu   sync.Mutex
	list []storeCopy
}

type storeCopy struct {
	at      time.Time
	records standin.Copy
}

// keep makes a copy regularly until the context ends.
func (c *copies) keep(ctx context.Context, store *standin.Store) {
	tick := time.NewTicker(copyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		c.list = append(c.list, storeCopy{time.Now(), store.Copy()})
		c.mu.Unlock()
	}
}

// last returns the newest copy of at least an age.
func (c *copies) last(age time.Duration) (out storeCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.list {
		if time.Since(s.at) >= age {
			out = s
		}
	}
	return out
}

// drill lets the store come back from a copy. What the operator and the servers wrote is
// written again.
func (s *system) drill(c *copies) {
	s.record.add("the store is away")
	s.store.SetFault(standin.FaultBusy)
	time.Sleep(awayFor)
	from := c.last(copyAge)
	s.store.Restore(from.records)
	s.operator.WriteAgain()
	for _, sv := range s.servers {
		sv.beat()
	}
	s.store.SetFault(standin.FaultNone)
	s.record.add("the store is back, from a copy that is %.1f s old", time.Since(from.at).Seconds())
}

// playUsage freezes the machine that reports usage, and then lets the store come back from
// an older copy.
func playUsage(s *system, trouble bool) (bool, error) {
	const daemons, perSecond = 4, 80
	for i := range 4 {
		if _, err := s.addServer(standin.ServerConfig{ID: fmt.Sprint("i-", i), Service: plainService, ProcessingTime: 15 * time.Millisecond}, nil); err != nil {
			return false, err
		}
	}
	var candidates []member.Candidate
	for _, name := range daemonNames(daemons) {
		candidates = append(candidates, member.Candidate{ID: name, FailureDomain: zone})
	}
	first := member.NewSet(candidates).Ranks(dutyName, 1)[0]
	if err := s.startDaemons(daemons, first); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	saved := &copies{}
	clients.Go(func() { saved.keep(ctx, s.store) })
	for _, d := range s.daemons {
		clients.Go(func() {
			tick := time.NewTicker(time.Second / perSecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				clients.Go(func() {
					r := request{id: newID(), path: standin.Path(plainService, "idempotent") + "x", body: "hut 7", allowed: time.Second}
					send(ctx, d.clients, r, nil)
				})
			}
		})
	}
	watch := &leaseWatch{store: s.store}
	if !watch.until(30*time.Second, func() bool { return len(s.cloud.Reports()) >= 2 }) {
		return false, fmt.Errorf("no usage was reported")
	}
	holder := watch.lease.VM
	s.record.add("%s holds the lease, %d windows are reported", holder, len(s.cloud.Reports()))
	var frozen *daemon
	for _, d := range s.daemons {
		if d.name == holder {
			frozen = d
		}
	}
	// The holder stands still shortly before it renews the lease and before a window ends.
	left := func() time.Duration { return usageWindow - time.Duration(time.Now().UnixNano())%usageWindow }
	ready := watch.until(40*time.Second, func() bool {
		since := time.Since(watch.since)
		return left() > 2050*time.Millisecond && left() < 2350*time.Millisecond && since > 700*time.Millisecond && since < 950*time.Millisecond
	})
	if frozen == nil || !ready {
		return false, fmt.Errorf("no moment to begin, holder %q", holder)
	}
	window := time.Now().UnixNano() / int64(usageWindow)
	s.record.add("window %d ends in %.3f s", window, left().Seconds())
	if trouble {
		s.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(frozenFor)
	if trouble {
		s.signal(frozen, syscall.SIGCONT)
	}
	watch.poll()
	s.record.add("%s holds the lease; window %d is reported as %v", watch.lease.VM, window, s.cloud.Reports()[window].Counts)
	time.Sleep(500 * time.Millisecond)
	watch.until(3*time.Second, func() bool { return time.Since(watch.since) > 550*time.Millisecond })
	if trouble {
		s.drill(saved)
	}
	watch.until(9*time.Second, func() bool { return len(s.cloud.Violations()) > 0 })
	s.record.add("%s holds the lease; window %d was last reported as %v", watch.lease.VM, window, s.cloud.Reports()[window].Counts)
	broken := s.cloud.Violations()
	for _, v := range broken {
		s.record.add("%s", v)
	}
	return len(broken) > 0, nil
}
