package pool

// The baselines run the same pool with other plugins, so that a comparison
// differs in the placement decision only. They keep the filters that correctness
// needs (runners that are up and have the role, the adapter, the version and the memory) and
// place every request at once.

// baseline returns a configuration with all mechanisms off.
func baseline(name string, scorers []Scorer, picker Picker) Config {
	cfg := DefaultConfig()
	cfg.Switches = Switches{}
	cfg.Policy = Policy{
		Name:    name,
		Filters: []Filter{FilterUp{}, FilterRole{}, FilterAdapter{}, FilterAvoid{}, FilterVersion{}, FilterMemory{}},
		Scorers: scorers,
		Picker:  picker,
	}
	return cfg
}

// RoundRobin returns the baseline that places requests on the runners in turn.
func RoundRobin() Config {
	return baseline("round_robin", nil, &PickRoundRobin{})
}

// LeastOutstanding returns the baseline that places a request on the runner with
// the fewest open tickets.
func LeastOutstanding() Config {
	return baseline("least_outstanding", []Scorer{ScoreOpen{}}, PickLowest{})
}

// PrefixOnly returns the baseline that places a request on the runner with the
// longest cached prefix, regardless of its load.
func PrefixOnly() Config {
	cfg := baseline("prefix_only", []Scorer{ScorePrefix{}}, PickLowest{})
	cfg.PrefixAffinity = true
	return cfg
}

// Baselines returns the baseline configurations by name.
func Baselines() map[string]Config {
	all := map[string]Config{}
	for _, cfg := range []Config{RoundRobin(), LeastOutstanding(), PrefixOnly()} {
		all[cfg.Policy.Name] = cfg
	}
	return all
}
