package daemon

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/table"
)

// directory implements gateway.Directory with the table in force.
type directory struct{ current *table.Current }

// Customer implements gateway.Directory.
func (d directory) Customer(key gateway.KeyHash) *gateway.Customer {
	row, ok := d.current.Load().Lookup(key)
	if !ok {
		return nil
	}
	return row
}

// HasModel implements gateway.Directory.
func (d directory) HasModel(name string) bool {
	_, ok := d.current.Load().Model(name)
	return ok
}

// Service implements gateway.Directory.
func (d directory) Service(name string) *gateway.Service {
	row, ok := d.current.Load().Service(name)
	if !ok {
		return nil
	}
	return row
}

// weight returns the weight of a customer, or 1 if the customer is not in the
// table.
func (d directory) weight(customer string) float64 {
	row, ok := d.current.Load().Customer(customer)
	if !ok {
		return 1
	}
	return row.Weight
}

// avoidFor is the time after a failed call for which a server of a plain
// service is used only if no other server is available.
const avoidFor = 2 * time.Second

// serviceBackends implements gateway.ServiceBackends. It picks the server with
// the fewest calls in progress from this daemon.
type serviceBackends struct {
	view    func() *view
	current *table.Current

	mu      sync.Mutex
	running map[string]int
	failed  map[string]time.Time
}

func newServiceBackends(view func() *view, current *table.Current) *serviceBackends {
	return &serviceBackends{view: view, current: current, running: map[string]int{}, failed: map[string]time.Time{}}
}

// Pick implements gateway.ServiceBackends.
func (s *serviceBackends) Pick(service string, exclude []string) (gateway.ServiceBackend, error) {
	candidates := s.candidates(service, exclude)
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, c := range candidates {
		if best < 0 || s.betterLocked(c.ID, candidates[best].ID) {
			best = i
		}
	}
	if best < 0 {
		return gateway.ServiceBackend{}, &gateway.Refusal{
			Status:     http.StatusServiceUnavailable,
			Code:       "no_backend",
			Message:    "no backend server of the service can take the request now",
			RetryAfter: time.Second,
		}
	}
	s.running[candidates[best].ID]++
	return candidates[best], nil
}

func (s *serviceBackends) candidates(service string, exclude []string) []gateway.ServiceBackend {
	row, ok := s.current.Load().Service(service)
	if !ok {
		return nil
	}
	servers := s.view().services
	var candidates []gateway.ServiceBackend
	for _, name := range row.Backends {
		for _, server := range servers[name] {
			if !slices.Contains(exclude, server.ID) {
				candidates = append(candidates, server)
			}
		}
	}
	return candidates
}

func (s *serviceBackends) betterLocked(a, b string) bool {
	aFailed, bFailed := s.failedLocked(a), s.failedLocked(b)
	if aFailed != bFailed {
		return bFailed
	}
	return s.running[a] < s.running[b]
}

func (s *serviceBackends) failedLocked(id string) bool {
	at, ok := s.failed[id]
	return ok && time.Since(at) < avoidFor
}

// Release implements gateway.ServiceBackends.
func (s *serviceBackends) Release(server gateway.ServiceBackend, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[server.ID]--
	if s.running[server.ID] <= 0 {
		delete(s.running, server.ID)
	}
	delete(s.failed, server.ID)
	if failed {
		s.failed[server.ID] = time.Now()
	}
}
