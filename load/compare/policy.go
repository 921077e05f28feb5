package compare

import (
	"github.com/mimosakeel/mimosakeel/pool"
)

// Policy is a scheduling policy to compare.
type Policy struct {
	Name string
	// Config returns a new configuration for each pool, because its plugins hold
	// state.
	Config func() pool.Config
	// OnePool schedules all engines in one pool instead of one per failure
	// domain.
	OnePool bool
	// StaticRoles divides the engines into the roles prefill and decode for the
	// whole run, with the best split for the first phase.
	StaticRoles bool
	// Oracle marks the reference policy. It knows the answer lengths and the
	// phases in advance, has no message delay between failure domains, and
	// changes roles within 1 ms to the best layout of each phase.
	Oracle bool
}

// Names of policies that the targets refer to.
const (
	// PolicyOwn is the scheduling policy of this project.
	PolicyOwn         = "own"
	PolicyOracle      = "oracle"
	PolicyStaticRoles = "least_outstanding_static_roles"
)

// Policies returns the policies to compare. The last ones are PolicyOwn without
// one of its mechanisms each. All but own_pool_per_domain schedule all engines in
// one pool, as the daemons do up to pool.MaxRunners.
func Policies() []Policy {
	all := []Policy{
		{Name: "round_robin", Config: pool.RoundRobin, OnePool: true},
		{Name: "least_outstanding", Config: pool.LeastOutstanding, OnePool: true},
		{Name: "prefix_only", Config: pool.PrefixOnly, OnePool: true},
		{Name: PolicyStaticRoles, Config: pool.LeastOutstanding, OnePool: true, StaticRoles: true},
		{Name: PolicyOwn, Config: pool.DefaultConfig, OnePool: true},
		{Name: PolicyOracle, Config: pool.DefaultConfig, OnePool: true, Oracle: true},
		{Name: "own_pool_per_domain", Config: pool.DefaultConfig},
	}
	for _, m := range mechanisms {
		all = append(all, Policy{Name: "own_without_" + m.name, OnePool: true, Config: func() pool.Config {
			cfg := pool.DefaultConfig()
			m.off(&cfg.Switches)
			return cfg
		}})
	}
	return all
}

// mechanisms are the mechanisms of PolicyOwn that can be switched off.
var mechanisms = []struct {
	name string
	off  func(*pool.Switches)
}{
	{"prefix_affinity", func(s *pool.Switches) { s.PrefixAffinity = false }},
	{"bounded_load", func(s *pool.Switches) { s.BoundedLoad = false }},
	{"fair_queueing", func(s *pool.Switches) { s.FairQueueing = false }},
	{"queueing", func(s *pool.Switches) { s.Queueing = false }},
	{"refusal", func(s *pool.Switches) { s.Refusal = false }},
	{"priorities", func(s *pool.Switches) { s.Priorities = false }},
	{"transfer", func(s *pool.Switches) { s.Transfer = false }},
	{"corrections", func(s *pool.Switches) { s.Corrections = false }},
	{"learning", func(s *pool.Switches) { s.Learning = false }},
}
