package platform

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// serverStore holds the backend servers and starts and stops them to match the
// ordered numbers. It is safe for concurrent use.
type serverStore struct {
	config Config
	audit  *auditor
	// cheapUnavailable reports whether no cheap servers can start in a failure
	// domain.
	cheapUnavailable func(failureDomain string) bool

	mu      sync.Mutex
	servers []*listedServer
	// serial is the number of servers ordered so far; it makes their IDs unique.
	serial int
	closed bool
	// targets is the wanted number of servers per group, set by the last order.
	targets map[serverGroup]int
}

// serverGroup identifies the servers of one class in a failure domain.
type serverGroup struct {
	failureDomain string
	class         hosting.ServerClass
}

// listedServer is an entry of the server list.
type listedServer struct {
	hosting.Server
	// external is set for a server that no order started; orders don't stop it.
	external bool
	// stop stops the server; nil if Config.Start was not called for it.
	stop func()
	// timer is the pending start or stop.
	timer *time.Timer
}

func newServerStore(config Config, audit *auditor, cheapUnavailable func(string) bool) *serverStore {
	store := &serverStore{config: config, audit: audit, cheapUnavailable: cheapUnavailable, targets: map[serverGroup]int{}}
	for _, server := range config.Servers {
		store.servers = append(store.servers, &listedServer{Server: server, external: true})
	}
	return store
}

func (s *serverStore) list() []hosting.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]hosting.Server, 0, len(s.servers))
	for _, server := range s.servers {
		list = append(list, server.Server)
	}
	return list
}

// put adds a server that the caller runs itself, or replaces the entry with the
// same ID.
func (s *serverStore) put(server hosting.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, present := range s.servers {
		if present.ID == server.ID {
			present.Server = server
			s.record(present, "set")
			return
		}
	}
	added := &listedServer{Server: server, external: true}
	s.servers = append(s.servers, added)
	s.record(added, "set")
}

// removeByID removes a server from the list and stops it immediately. It
// returns false if the ID is unknown.
func (s *serverStore) removeByID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.ID == id {
			s.remove(server)
			return true
		}
	}
	return false
}

// setTarget sets the target number of servers of a group and starts or stops
// servers to reach it.
func (s *serverStore) setTarget(failureDomain string, class hosting.ServerClass, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[serverGroup{failureDomain, class}] = count
	s.reconcile(failureDomain, class, count)
}

// replaceCrashed removes a crashed server after CrashLag and starts a
// replacement.
func (s *serverStore) replaceCrashed(id string) {
	time.AfterFunc(s.config.CrashLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, server := range s.servers {
			if server.ID == id {
				s.remove(server)
				s.reconcile(server.FailureDomain, server.Class, s.targets[serverGroup{server.FailureDomain, server.Class}])
				return
			}
		}
	})
}

// reconcile starts or stops servers of a group until count are left. The caller
// holds the lock.
func (s *serverStore) reconcile(failureDomain string, class hosting.ServerClass, count int) {
	if s.closed {
		return
	}
	present := s.notLeaving(failureDomain, class)
	if class == hosting.ClassCheap && s.cheapUnavailable(failureDomain) {
		count = min(count, len(present))
	}
	for range count - len(present) {
		s.startServer(failureDomain, class)
	}
	// Stop the newest servers first, because they have the fewest cached prefixes.
	for i := len(present) - 1; i >= max(count, 0); i-- {
		s.giveNotice(present[i], s.config.StopNotice, "surplus")
	}
}

// notLeaving returns the servers of a group that are not leaving, oldest first.
// It omits external servers.
func (s *serverStore) notLeaving(failureDomain string, class hosting.ServerClass) []*listedServer {
	var found []*listedServer
	for _, server := range s.servers {
		matches := server.FailureDomain == failureDomain && server.Class == class
		if matches && !server.external && server.State != hosting.ServerLeaving {
			found = append(found, server)
		}
	}
	return found
}

// startServer adds a starting server, which goes live after LeadTime.
func (s *serverStore) startServer(failureDomain string, class hosting.ServerClass) {
	s.serial++
	server := &listedServer{Server: hosting.Server{
		ID:            fmt.Sprintf("%s-%s-%d", failureDomain, class, s.serial),
		FailureDomain: failureDomain,
		Class:         class,
		Kind:          hosting.KindEngine,
		State:         hosting.ServerStarting,
		ChecksFence:   s.config.UncheckedEvery <= 0 || s.serial%s.config.UncheckedEvery != 0,
	}}
	s.servers = append(s.servers, server)
	s.record(server, "starting")
	server.timer = time.AfterFunc(s.config.LeadTime, func() { s.goLive(server) })
}

// goLive starts a server and marks it live. A server that fails to start is
// removed.
func (s *serverStore) goLive(server *listedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || server.State != hosting.ServerStarting {
		return
	}
	if s.config.Start != nil {
		url, stop, err := s.config.Start(server.Server)
		if err != nil {
			s.remove(server)
			return
		}
		server.URL, server.stop = url, stop
	}
	server.State = hosting.ServerLive
	s.record(server, "live")
}

// giveNotice marks a server as leaving and removes it after the notice. A
// server that is still starting is removed immediately. An earlier leave time
// is kept.
func (s *serverStore) giveNotice(server *listedServer, notice time.Duration, reason string) {
	if server.State == hosting.ServerStarting {
		s.remove(server)
		return
	}
	leaveAt := time.Now().Add(notice)
	if server.State == hosting.ServerLeaving && server.LeaveAtMs <= leaveAt.UnixMilli() {
		return
	}
	server.State = hosting.ServerLeaving
	server.LeaveAtMs = leaveAt.UnixMilli()
	s.record(server, reason)
	if server.timer != nil {
		server.timer.Stop()
	}
	server.timer = time.AfterFunc(notice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(server)
	})
}

// evict gives notice to all cheap servers of a failure domain, including
// external ones. An empty name means all failure domains.
func (s *serverStore) evict(failureDomain string, notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range append([]*listedServer{}, s.servers...) {
		matches := failureDomain == "" || server.FailureDomain == failureDomain
		if matches && server.Class == hosting.ClassCheap {
			s.giveNotice(server, notice, "evicted")
		}
	}
}

// remove removes a server from the list and stops it in the background. The
// caller holds the lock.
func (s *serverStore) remove(server *listedServer) {
	for i, present := range s.servers {
		if present != server {
			continue
		}
		s.servers = append(s.servers[:i], s.servers[i+1:]...)
		s.record(server, "gone")
		if server.timer != nil {
			server.timer.Stop()
		}
		if server.stop != nil {
			go server.stop()
		}
		return
	}
}

// record adds a change of a server to the audit.
func (s *serverStore) record(server *listedServer, change string) {
	entry := ServerEntry{AtMs: time.Now().UnixMilli(), Server: server.Server, Change: change}
	s.audit.add(func(a *Audit) { a.Servers = append(a.Servers, entry) })
}

// close stops all servers that the store started and waits for them.
func (s *serverStore) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var stops sync.WaitGroup
	for _, server := range s.servers {
		if server.timer != nil {
			server.timer.Stop()
		}
		if server.stop != nil {
			stops.Go(server.stop)
		}
	}
	stops.Wait()
	s.servers = nil
}
