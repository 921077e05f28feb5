package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/provision"
)

const (
	// minLoadInterval is the shortest interval over which a load is measured.
	minLoadInterval = 100 * time.Millisecond
	// maxLoadInterval is the interval after which a measurement starts again, because
	// an average over it says little about the present.
	maxLoadInterval = 5 * time.Second
	// missGain and spreadGain are the weights of the newest interval in the moving
	// averages of the share of prompts that is not cached and of the spread of the
	// prefill work. Both vary between intervals because a few long prompts dominate.
	missGain   = 0.2
	spreadGain = 0.1
)

// loadMeter measures the load of one pool for the decision how many servers are
// needed. Unlike demandMeter, it counts prompts without their cached prefix,
// because the cache holds most of the prompts of some customers.
type loadMeter struct {
	// requests, prompt and refused are the totals since the interval began.
	requests, prompt, refused float64
	since                     time.Time
	// granted holds the totals of the pool at the start of the interval.
	granted pool.Demand
	// miss is the moving average of the share of prompts that is not cached, mean and
	// square those of the prefill work per request and of its square.
	miss, mean, square float64
}

func (m *loadMeter) arrived(r *pool.Request) {
	m.requests++
	m.prompt += float64(min(max(r.PromptTokens, 1), pool.MaxTokens))
}

// report returns the load of the pool since the last call. ok is false if there
// was none for too long.
func (m *loadMeter) report(now time.Time, p *pool.Pool) (out provision.Report, ok bool) {
	elapsed := now.Sub(m.since)
	if elapsed < minLoadInterval {
		return out, false
	}
	state := p.Demand()
	m.learn(&state)
	seconds := elapsed.Seconds()
	out = provision.Report{
		Requests:    m.requests / seconds,
		Prefill:     m.prompt * m.missShare() / seconds,
		Decode:      max(state.ArrivedDecode-m.granted.ArrivedDecode, 0) / seconds,
		PrefillRate: state.PrefillRate,
		DecodeRate:  state.DecodeRate,
		Waiting:     state.WaitingTokens * m.missShare(),
		Refused:     m.refused / seconds,
	}
	if m.mean > 0 {
		out.Spread = max(m.square/(m.mean*m.mean)-1, 0)
	}
	m.addWork(now, p, &out)
	m.requests, m.prompt, m.refused, m.since, m.granted = 0, 0, 0, now, state
	return out, elapsed <= maxLoadInterval
}

// learn updates the moving averages with the grants of the interval.
func (m *loadMeter) learn(state *pool.Demand) {
	grants := state.Grants - m.granted.Grants
	if grants <= 0 {
		return
	}
	miss := (state.GrantedPrefill - m.granted.GrantedPrefill) / (state.GrantedPrompt - m.granted.GrantedPrompt)
	mean := (state.GrantedPrefill - m.granted.GrantedPrefill) / grants
	square := (state.GrantedSquares - m.granted.GrantedSquares) / grants
	if m.miss == 0 {
		m.miss, m.mean, m.square = miss, mean, square
		return
	}
	m.miss += missGain * (miss - m.miss)
	m.mean += spreadGain * (mean - m.mean)
	m.square += spreadGain * (square - m.square)
}

// missShare returns the share of a prompt that is not cached, 1 until it is
// learned.
func (m *loadMeter) missShare() float64 {
	if m.miss == 0 {
		return 1
	}
	return m.miss
}

// addWork adds the outstanding work of the runners to a report.
func (m *loadMeter) addWork(now time.Time, p *pool.Pool, out *provision.Report) {
	type group struct {
		domain string
		cheap  bool
	}
	groups := map[group]float64{}
	prefills := 0
	for _, w := range p.Work(now, nil) {
		groups[group{w.FailureDomain, w.Cheap}] += w.Work
		out.Memory += w.Memory
		if w.Prefills {
			out.Wait += w.Wait
			prefills++
		}
	}
	out.Wait /= float64(max(prefills, 1))
	for _, g := range slices.SortedFunc(maps.Keys(groups), func(a, b group) int { return cmp.Compare(a.domain, b.domain) }) {
		out.Groups = append(out.Groups, provision.GroupWork{FailureDomain: g.domain, Cheap: g.cheap, Work: groups[g]})
	}
}

// PoolLoad returns the load of a hosted pool since the last call. ok is false if the
// pool is not hosted here or there was no call for too long.
func (h *Host) PoolLoad(now time.Time, name string) (report provision.Report, ok bool) {
	p, ok := h.pools[name]
	if !ok {
		return report, false
	}
	return h.loads[name].report(now, p)
}
