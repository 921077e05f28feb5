// Package member computes the set of live VMs from heartbeats and from the
// platform's VM list, which lags. It assigns names to the VMs by rendezvous
// hashing.
//
// Each daemon exchanges heartbeats with at most MaxPeers others. It spreads what
// it observes as rumours: a version per VM that is even while heartbeats arrive
// from the VM and odd while they don't. The higher version wins, so all daemons
// converge whatever the order of delivery.
package member

import (
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/hosting"
)

const (
	// HeartbeatInterval is the time between heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which a VM gets no
	// traffic.
	HeartbeatTimeout = 2 * time.Second
	// MaxRumours bounds the rumours per heartbeat. At 8 encoded bytes each and
	// MaxPeers peers, a daemon sends at most 4 KB of rumours per heartbeat interval.
	MaxRumours = 64
	// rumourRepeats is the number of heartbeats that carry a new rumour to all
	// peers. If all of them are lost, the rumour arrives by the rotation.
	rumourRepeats = 3
	// rotatedRumours is the number of older rumours repeated in each heartbeat,
	// in rotation, for daemons that started later or missed them.
	rotatedRumours = 8
)

// Rumour is a status update that daemons spread by gossip: the highest version
// that the sender knows of one VM. A receiver ignores it unless its version is
// higher than the one it knows itself; then it adopts it and spreads it further.
type Rumour struct {
	// VM is the lower 32 bits of the xxhash of the VM's ID.
	VM uint32 `cbor:"1,keyasint"`
	// Version is even if heartbeats arrive from the VM and odd if they don't.
	Version uint32 `cbor:"2,keyasint"`
}

// Event is an input of Members.
type Event interface{ isEvent() }

// ListUpdated reports a new VM list of the platform.
type ListUpdated struct{ VMs []hosting.VM }

// HeartbeatReceived reports a heartbeat that a peer sent over its own
// authenticated connection.
type HeartbeatReceived struct {
	From    string
	Rumours []Rumour
}

// Tick advances the time. Send it at least once per HeartbeatInterval.
type Tick struct{}

func (ListUpdated) isEvent()       {}
func (HeartbeatReceived) isEvent() {}
func (Tick) isEvent()              {}

// Action is an output of Members.
type Action interface{ isAction() }

// LiveChanged reports a new live set.
type LiveChanged struct {
	// Routable holds the live VMs that pools and other names are assigned to.
	Routable *Set
	// Live holds the routable VMs and those that are leaving.
	Live *Set
}

// PeersChanged reports the VMs to exchange heartbeats with.
type PeersChanged struct{ Peers []string }

// SendHeartbeat asks the caller to send a heartbeat to every peer.
type SendHeartbeat struct {
	Peers   []string
	Rumours []Rumour
}

func (LiveChanged) isAction()   {}
func (PeersChanged) isAction()  {}
func (SendHeartbeat) isAction() {}

// vm is the state of one listed VM.
//
// Invariant: version never decreases while the VM is listed.
type vm struct {
	id      string
	domain  string
	key     uint32
	leaving bool
	version uint32
	// repeatsLeft is the number of heartbeats that must still carry the version.
	repeatsLeft int
	// lastHeard is the time of the last direct heartbeat. It starts at the time
	// of the listing or of becoming a peer.
	lastHeard time.Time
	// silenceReported is set once this daemon has reported that the VM's
	// heartbeats stopped, until the next one arrives. If only the link between the
	// two VMs is broken, other daemons refute the report, and it is not repeated.
	silenceReported bool
}

// silent reports whether the latest version says that no heartbeats arrive.
func (v *vm) silent() bool { return v.version%2 == 1 }

// Members is the membership state machine of one daemon. It is not safe for
// concurrent use.
type Members struct {
	self   string
	vms    map[string]*vm
	byKey  map[uint32]*vm
	listed []*vm
	// ids holds the IDs of listed, from which graph is built.
	ids           []string
	graph         graph
	peers         []string
	routable      []string
	live          []string
	nextHeartbeat time.Time
	// rotation is the index in listed of the last VM considered for the repeated
	// older rumours.
	rotation int
	// liveMayChange is set when the live set may have changed.
	liveMayChange bool
}

// New returns the state machine of the daemon on the VM with the given ID.
func New(self string) *Members {
	return &Members{self: self, vms: map[string]*vm{}, byKey: map[uint32]*vm{}, graph: graph{}}
}

// Step applies an event and returns the resulting actions.
func (m *Members) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch ev := event.(type) {
	case ListUpdated:
		actions = m.updateList(now, ev.VMs, actions)
	case HeartbeatReceived:
		m.receiveHeartbeat(now, ev)
	case Tick:
	}
	m.reportSilentPeers(now)
	actions = m.sendHeartbeat(now, actions)
	if !m.liveMayChange {
		return actions
	}
	m.liveMayChange = false
	return m.publishLive(actions)
}

// Peers returns the VMs to exchange heartbeats with.
func (m *Members) Peers() []string { return m.peers }

func (m *Members) updateList(now time.Time, list []hosting.VM, actions []Action) []Action {
	kept := make(map[string]*vm, len(list))
	m.byKey = make(map[uint32]*vm, len(list))
	m.listed = m.listed[:0]
	ids := make([]string, 0, len(list))
	for _, entry := range list {
		if kept[entry.ID] != nil {
			continue
		}
		v := m.vms[entry.ID]
		if v == nil {
			v = &vm{id: entry.ID, key: rumourKey(entry.ID), lastHeard: now}
		}
		v.domain = entry.FailureDomain
		v.leaving = entry.State == hosting.VMLeaving
		kept[entry.ID] = v
		m.byKey[v.key] = v
		m.listed = append(m.listed, v)
		ids = append(ids, entry.ID)
	}
	m.vms = kept
	m.liveMayChange = true
	if slices.Equal(ids, m.ids) {
		return actions
	}
	m.ids, m.graph = ids, newGraph(ids)
	peers := slices.Clone(m.graph[m.self])
	slices.Sort(peers)
	if slices.Equal(peers, m.peers) {
		return actions
	}
	for _, id := range peers {
		if !slices.Contains(m.peers, id) {
			// A new peer has the full timeout for its first heartbeat.
			m.vms[id].lastHeard = now
			m.vms[id].silenceReported = m.vms[id].silent()
		}
	}
	m.peers = peers
	return append(actions, PeersChanged{Peers: peers})
}

func (m *Members) receiveHeartbeat(now time.Time, ev HeartbeatReceived) {
	sender := m.vms[ev.From]
	if sender == nil {
		return
	}
	sender.lastHeard = now
	sender.silenceReported = false
	for _, r := range ev.Rumours {
		v := m.byKey[r.VM]
		if v != nil && r.Version > v.version {
			m.setVersion(v, r.Version)
		}
	}
	m.refute(now)
}

// refute raises the version of VMs that others report as silent although this
// daemon receives their heartbeats, and of this daemon itself.
func (m *Members) refute(now time.Time) {
	for _, v := range m.listed {
		if !v.silent() {
			continue
		}
		direct := slices.Contains(m.peers, v.id) && !v.silenceReported && now.Sub(v.lastHeard) < HeartbeatTimeout
		if direct || v.id == m.self {
			m.setVersion(v, v.version+1)
		}
	}
}

// reportSilentPeers raises the version of peers whose heartbeats have stopped.
func (m *Members) reportSilentPeers(now time.Time) {
	for _, id := range m.peers {
		v := m.vms[id]
		if v.silenceReported || now.Sub(v.lastHeard) < HeartbeatTimeout {
			continue
		}
		v.silenceReported = true
		if !v.silent() {
			m.setVersion(v, v.version+1)
		}
	}
}

func (m *Members) setVersion(v *vm, version uint32) {
	m.liveMayChange = true
	v.version = version
	v.repeatsLeft = rumourRepeats
}

func (m *Members) sendHeartbeat(now time.Time, actions []Action) []Action {
	if now.Before(m.nextHeartbeat) || len(m.peers) == 0 {
		return actions
	}
	m.nextHeartbeat = now.Add(HeartbeatInterval)
	return append(actions, SendHeartbeat{Peers: m.peers, Rumours: m.nextRumours()})
}

// nextRumours returns the rumours of the next heartbeat: new ones first, then
// older ones in rotation.
func (m *Members) nextRumours() []Rumour {
	var out []Rumour
	for _, v := range m.listed {
		if v.repeatsLeft == 0 || len(out) == MaxRumours-rotatedRumours {
			continue
		}
		v.repeatsLeft--
		out = append(out, Rumour{v.key, v.version})
	}
	rotated := 0
	for range m.listed {
		m.rotation = (m.rotation + 1) % len(m.listed)
		v := m.listed[m.rotation]
		if v.version == 0 || v.repeatsLeft > 0 {
			continue
		}
		out = append(out, Rumour{v.key, v.version})
		if rotated++; rotated == rotatedRumours {
			break
		}
	}
	return out
}

// publishLive reports the live set if it changed. A VM is live if it can be
// reached in the heartbeat graph over VMs that aren't silent. Silence reports
// alone don't suffice: if all peers of a VM are on the other side of a partition,
// no daemon on this side reports it.
func (m *Members) publishLive(actions []Action) []Action {
	reached := map[string]bool{m.self: true}
	queue := []string{m.self}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		for _, peer := range m.graph[id] {
			if !reached[peer] && !m.vms[peer].silent() {
				reached[peer] = true
				queue = append(queue, peer)
			}
		}
	}
	var live, routable []Candidate
	var liveIDs, routableIDs []string
	for _, v := range m.listed {
		if !reached[v.id] {
			continue
		}
		live = append(live, Candidate{v.id, v.domain})
		liveIDs = append(liveIDs, v.id)
		if !v.leaving {
			routable = append(routable, Candidate{v.id, v.domain})
			routableIDs = append(routableIDs, v.id)
		}
	}
	if slices.Equal(liveIDs, m.live) && slices.Equal(routableIDs, m.routable) {
		return actions
	}
	m.live, m.routable = liveIDs, routableIDs
	return append(actions, LiveChanged{Routable: NewSet(routable), Live: NewSet(live)})
}
