// Package load generates open-loop request load, checks every answer and
// reports latency, goodput and refusals.
package load

import "time"

// Profile holds the network latencies of a deployment.
type Profile struct {
	Name string
	// BetweenDomains is the one-way latency between failure domains.
	BetweenDomains time.Duration
	// ToClients is the one-way latency between entry VMs and clients.
	ToClients time.Duration
}

// profiles are the latencies of the current deployments; see section 1.1 of the
// design.
var profiles = []Profile{
	{Name: "none"},
	{Name: "tamu", BetweenDomains: 500 * time.Microsecond, ToClients: time.Millisecond},
	{Name: "porte-vernice", BetweenDomains: 1500 * time.Microsecond, ToClients: 3 * time.Millisecond},
}

// ProfileByName returns the profile with a name; ok is false if there is none.
func ProfileByName(name string) (profile Profile, ok bool) {
	for _, profile := range profiles {
		if profile.Name == name {
			return profile, true
		}
	}
	return Profile{}, false
}
