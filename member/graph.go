package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// rings is the number of independent rings over the listed VMs. At 320 VMs
	// the union of 4 randomly ordered rings has a diameter of 4, while a single
	// ring with as many edges would have a diameter of 40.
	rings = 4
	// MaxPeers bounds the number of VMs with which a daemon exchanges
	// heartbeats: two neighbours per ring.
	MaxPeers = 2 * rings
)

// graph holds the peers of each listed VM. All daemons with the same VM list
// compute the same graph.
type graph map[string][]string

// newGraph connects each VM with its two neighbours in each ring. Up to
// MaxPeers+1 VMs form a full mesh instead. Adding or removing a VM changes only
// the peers of its neighbours.
func newGraph(ids []string) graph {
	g := make(graph, len(ids))
	if len(ids) <= MaxPeers+1 {
		for _, id := range ids {
			g[id] = without(ids, id)
		}
		return g
	}
	type ringPosition struct {
		id   string
		hash uint64
	}
	order := make([]ringPosition, len(ids))
	for ring := range rings {
		for i, id := range ids {
			order[i] = ringPosition{id, combineHashes(uint64(ring)+1, xxhash.Sum64String(id))}
		}
		slices.SortFunc(order, func(a, b ringPosition) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
		for i, p := range order {
			next := order[(i+1)%len(order)].id
			g.connect(p.id, next)
			g.connect(next, p.id)
		}
	}
	return g
}

func (g graph) connect(a, b string) {
	if a != b && !slices.Contains(g[a], b) {
		g[a] = append(g[a], b)
	}
}

func without(ids []string, id string) []string {
	rest := make([]string, 0, len(ids))
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
