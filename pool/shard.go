package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

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

// Assign distributes runners over as few shards as possible; see Assigner.
func Assign(ids []string) [][]string {
	var a Assigner
	return a.assign(ids, Shards(len(ids)), MaxRunners)
}

// shardSlack is the maximum size of a shard relative to the mean. It is close
// to 1 because requests are distributed evenly over the shards.
const shardSlack = 1.1

// Assigner distributes runners over shards by rendezvous hashing. The result
// depends on the set of runners only, and few others move when one joins or
// leaves. An Assigner keeps the ranks of its runners, so that a repeated
// assignment hashes new runners only. Its zero value is ready to use.
type Assigner struct {
	count int
	ranks map[string][]uint16
}

// AssignEven distributes runners over count shards of nearly equal size, or over
// more shards if they don't fit.
func (a *Assigner) AssignEven(ids []string, count int) [][]string {
	count = max(count, Shards(len(ids)))
	room := int(math.Ceil(shardSlack * float64(len(ids)) / float64(count)))
	return a.assign(ids, count, min(room, MaxRunners))
}

// assign distributes runners over count shards of at most room runners each.
func (a *Assigner) assign(ids []string, count, room int) [][]string {
	if !slices.IsSorted(ids) {
		ids = slices.Sorted(slices.Values(ids))
	}
	shards := make([][]string, count)
	if count == 1 {
		shards[0] = slices.Clone(ids)
		return shards
	}
	if a.count != count || len(a.ranks) > 2*len(ids) {
		// Runners that have left are forgotten here.
		a.count, a.ranks = count, make(map[string][]uint16, len(ids))
	}
	for i := range shards {
		shards[i] = make([]string, 0, room)
	}
	for _, id := range ids {
		ranks, ok := a.ranks[id]
		if !ok {
			ranks = rankShards(id, count)
			a.ranks[id] = ranks
		}
		for _, shard := range ranks {
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
		name = strconv.FormatUint(req.Affinity, 10)
	case len(req.Blocks) > 0:
		name = strconv.FormatUint(req.Blocks[0], 10)
	}
	best, bestScore := 0, uint64(0)
	shardScores(name, count, func(shard int, score uint64) {
		if shard == 0 || score > bestScore {
			best, bestScore = shard, score
		}
	})
	return best
}

// rankShards ranks the shards for a name by rendezvous hashing.
func rankShards(name string, count int) []uint16 {
	ranks := make([]uint16, count)
	scores := make([]uint64, count)
	shardScores(name, count, func(shard int, score uint64) {
		ranks[shard], scores[shard] = uint16(shard), score
	})
	slices.SortFunc(ranks, func(a, b uint16) int { return cmp.Compare(scores[b], scores[a]) })
	return ranks
}

// shardScores calls visit with the score of each shard for a name.
func shardScores(name string, count int, visit func(shard int, score uint64)) {
	var buffer [64]byte
	prefix := append(append(buffer[:0], name...), '/')
	for i := range count {
		visit(i, xxhash.Sum64(strconv.AppendInt(prefix, int64(i), 10)))
	}
}
