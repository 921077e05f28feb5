package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a pool. The result of String is hashed to choose the pool's
// scheduler.
type Key struct {
	Model, FailureDomain string
	// Shard is the index of the shard, from 0. A model with more than MaxRunners
	// runners in a failure domain has several.
	Shard int
}

// String returns the name of the pool.
func (k Key) String() string {
	return fmt.Sprintf("pool/%s/%s/%d", k.FailureDomain, k.Model, k.Shard)
}

// Shards returns the number of shards that a number of runners needs, at least 1.
func Shards(runners int) int {
	return max((runners+MaxRunners-1)/MaxRunners, 1)
}

// Assign distributes runners over as few shards as possible; see AssignTo.
func Assign(ids []string) [][]string { return AssignTo(ids, Shards(len(ids)), MaxRunners) }

// shardSlack is the maximum size of a shard relative to the mean. It is close
// to 1 because requests are distributed evenly over the shards.
const shardSlack = 1.1

// AssignEven distributes runners over count shards of nearly equal size, or over
// more shards if they don't fit.
func AssignEven(ids []string, count int) [][]string {
	count = max(count, Shards(len(ids)))
	room := int(math.Ceil(shardSlack * float64(len(ids)) / float64(count)))
	return AssignTo(ids, count, min(room, MaxRunners))
}

// AssignTo distributes runners over count shards of at most room runners each by
// rendezvous hashing. The result depends on the set of runners only, and few
// others move when one joins or leaves.
func AssignTo(ids []string, count, room int) [][]string {
	shards := make([][]string, count)
	if len(shards) == 1 {
		shards[0] = slices.Sorted(slices.Values(ids))
		return shards
	}
	for _, id := range slices.Sorted(slices.Values(ids)) {
		for _, shard := range shardOrder(id, len(shards)) {
			if len(shards[shard]) < room {
				shards[shard] = append(shards[shard], id)
				break
			}
		}
	}
	return shards
}

// ShardFor returns the shard of a request among count shards. It hashes the
// affinity, or the first prefix block if there is no affinity, so that related
// requests share a shard. Without either it hashes the request's ID.
func ShardFor(req *Request, count int) int {
	name := req.ID
	switch {
	case req.Affinity != 0:
		name = fmt.Sprint(req.Affinity)
	case len(req.Blocks) > 0:
		name = fmt.Sprint(req.Blocks[0])
	}
	return shardOrder(name, count)[0]
}

// shardOrder ranks the shards for a name by rendezvous hashing.
func shardOrder(name string, count int) []int {
	order := make([]int, count)
	scores := make([]uint64, count)
	for i := range order {
		order[i] = i
		scores[i] = xxhash.Sum64String(fmt.Sprintf("%s/%d", name, i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}
