package edge

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosakeel/mimosakeel/registry"
)

// serverViewParts is the number of maps that a serverView splits its servers into.
const serverViewParts = 64

// serverView is an immutable snapshot of the backend servers for the goroutines
// that serve requests. A new snapshot shares everything with the old one that did
// not change.
type serverView struct {
	// parts holds the servers by ID, split by the hash of the ID.
	parts [serverViewParts]map[string]*registry.Server
	// services holds the servers of each service in the order of their IDs.
	services map[string][]*registry.Server
	// addrs holds the servers by address. It is built when it is first needed.
	addrs func() map[string]*registry.Server
	count int
}

func serverViewPart(id string) int { return int(xxhash.Sum64String(id) % serverViewParts) }

// server returns the server with the given ID, or nil.
func (v *serverView) server(id string) *registry.Server { return v.parts[serverViewPart(id)][id] }

// ofService returns the servers of a service. The caller must not change the slice.
func (v *serverView) ofService(name string) []*registry.Server { return v.services[name] }

// atAddr returns the server at an address, or nil.
func (v *serverView) atAddr(addr string) *registry.Server {
	if v.addrs == nil {
		return nil
	}
	return v.addrs()[addr]
}

// sample returns the addresses of up to n servers, chosen at random.
func (v *serverView) sample(n int) []string {
	var out []string
	first := rand.IntN(serverViewParts)
	for i := range v.parts {
		for _, s := range v.parts[(first+i)%serverViewParts] {
			if len(out) == n {
				return out
			}
			out = append(out, s.Addr)
		}
	}
	return out
}

func (v *serverView) byAddr() map[string]*registry.Server {
	out := make(map[string]*registry.Server, v.count)
	for _, part := range v.parts {
		for _, s := range part {
			out[s.Addr] = s
		}
	}
	return out
}

// len returns the number of servers.
func (v *serverView) len() int { return v.count }

// with returns a view with the given changes, which are in the order of their IDs.
func (v *serverView) with(changes []registry.Change) *serverView {
	next := *v
	var copied [serverViewParts]bool
	byService := map[string][]registry.Change{}
	for _, c := range changes {
		part := serverViewPart(c.ID)
		if !copied[part] {
			copied[part] = true
			next.parts[part] = maps.Clone(v.parts[part])
			if next.parts[part] == nil {
				next.parts[part] = map[string]*registry.Server{}
			}
		}
		if c.Old != nil {
			next.count--
			delete(next.parts[part], c.ID)
			if c.Server == nil || c.Server.Service != c.Old.Service {
				byService[c.Old.Service] = append(byService[c.Old.Service], registry.Change{ID: c.ID})
			}
		}
		if c.Server != nil {
			next.count++
			next.parts[part][c.ID] = c.Server
			byService[c.Server.Service] = append(byService[c.Server.Service], c)
		}
	}
	next.services = maps.Clone(v.services)
	if next.services == nil {
		next.services = map[string][]*registry.Server{}
	}
	for service, list := range byService {
		merged := mergeServers(v.services[service], list)
		if len(merged) == 0 {
			delete(next.services, service)
			continue
		}
		next.services[service] = merged
	}
	next.addrs = sync.OnceValue(next.byAddr)
	return &next
}

// mergeServers returns a copy of a list of servers with the given changes. Both
// are in the order of IDs.
func mergeServers(list []*registry.Server, changes []registry.Change) []*registry.Server {
	out := make([]*registry.Server, 0, len(list)+len(changes))
	for _, c := range changes {
		at, found := slices.BinarySearchFunc(list, c.ID, func(s *registry.Server, id string) int { return strings.Compare(s.ID, id) })
		out = append(out, list[:at]...)
		if c.Server != nil {
			out = append(out, c.Server)
		}
		if found {
			at++
		}
		list = list[at:]
	}
	return append(out, list...)
}
