package edge

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/member"
	"github.com/mimosakeel/mimosakeel/metering"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/registry"
	"github.com/mimosakeel/mimosakeel/schedule"
)

const (
	scaleDomains = 6
	// plainShare is the number of servers of which one is of a plain service.
	plainShare = 25
)

// scaleControl is the control state of one daemon among many, without a network
// and a store.
type scaleControl struct {
	*control
	now     time.Time
	offsets [feedCount]int64
}

// newScaleControl returns the control state of a daemon that knows the given number
// of daemons and backend servers, and a configuration with the given number of
// routes.
func newScaleControl(tb testing.TB, daemons, servers, routes int) *scaleControl {
	tb.Helper()
	return newScaleControlOf(tb, "vm-0", daemons, servers, routes)
}

// newScaleControlOf is newScaleControl for the daemon of a VM.
func newScaleControlOf(tb testing.TB, vm string, daemons, servers, routes int) *scaleControl {
	tb.Helper()
	incarnation := vm + ".a"
	events := event.NewRecorder(hlc.New(time.Now), vm, nil, zerolog.Nop())
	tb.Cleanup(events.Close)
	decodeServer := func(id string, value []byte) (registry.Server, error) {
		s := registry.Server{ID: id}
		return s, json.Unmarshal(value, &s)
	}
	decodeConfig := func(data []byte) (catalog.Config, error) {
		var c catalog.Config
		return c, json.Unmarshal(data, &c)
	}
	c := newControl(vm, incarnation, Source{ConfigKey: "config", DecodeServer: decodeServer, DecodeConfig: decodeConfig}, events, newMemberTable())
	d := &Daemon{Config: Config{Settings: DefaultSettings(), Events: events}, control: c}
	d.Settings.VM = vm
	c.send = func(string, peer.Message) {}
	c.disconnect = func(string) {}
	c.feeds = d.newFeeds()
	c.host = schedule.NewHost(pool.DefaultConfig(), c.send)
	c.duties = newDuties(vm, incarnation, time.Second, UsageSettings{Window: time.Second})
	c.duties.ctx, c.duties.topics, c.duties.emit = tb.Context(), newMemoryTopics(), func(any) {}
	c.duties.clock = metering.NewClock(bootNow, time.Now)
	c.duties.counter, c.duties.send = metering.NewCounter(time.Second), func(string, peer.Message) {}
	c.clock = c.duties.clock
	c.fleet = d.newFleet(c.duties)
	c.quarantine = newQuarantineControl(c, DefaultSettings().Quarantine, newContentGuard(c.clock.Now))
	c.announcer = newAnnouncer(newMemoryTopics(), hosting.Topic{}, vm, testMember(incarnation), events)
	sc := &scaleControl{control: c, now: time.Now()}
	var members, list []hosting.KeyedRecord
	for i := range daemons {
		members = append(members, memberOf(tb, i, "a"))
	}
	for i := range servers {
		list = append(list, serverOf(tb, i, 1, false))
	}
	sc.apply(feedMembers, members...)
	sc.apply(feedConfig, configOf(tb, routes, 1))
	sc.apply(feedServers, list...)
	return sc
}

func encodeJSON(tb testing.TB, v any) []byte {
	tb.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func memberOf(tb testing.TB, i int, process string) hosting.KeyedRecord {
	tb.Helper()
	vm := fmt.Sprint("vm-", i)
	cores := 0.2
	if i < 3*scaleDomains {
		cores = 0.8
	}
	return hosting.KeyedRecord{Key: vm, Value: encodeJSON(tb, memberEntry{
		Incarnation: vm + "." + process, Addr: fmt.Sprintf("10.0.%d.%d:7", i/256, i%256), Cores: cores,
		FailureDomain: fmt.Sprint("fd-", i%scaleDomains), Certificate: strings.Repeat("ab", 32),
	})}
}

func serverOf(tb testing.TB, i int, born int64, draining bool) hosting.KeyedRecord {
	tb.Helper()
	s := registry.Server{
		ID: fmt.Sprint("i-", i), StartedMs: born, Service: "llm", Addr: fmt.Sprintf("10.1.%d.%d:8", i/256, i%256),
		FailureDomain: fmt.Sprint("fd-", i%scaleDomains), Slots: 64, Draining: draining, Role: backend.RoleMixed,
	}
	if i%plainShare == 0 {
		s.Service, s.Role = "desk", ""
	}
	return hosting.KeyedRecord{Key: s.ID, Value: encodeJSON(tb, s)}
}

func configOf(tb testing.TB, routes int, version int64) hosting.KeyedRecord {
	tb.Helper()
	prices := map[string]float64{}
	for i := range scaleDomains {
		prices[fmt.Sprint("fd-", i)] = 1
	}
	cfg := catalog.Config{Version: version, Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 64, KVTokens: 500_000}, Scaling: &catalog.Scaling{Max: 48, DomainPrices: prices}},
		{Name: "desk"},
	}}
	for i := range routes {
		cfg.Routes = append(cfg.Routes, catalog.Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Shares: []catalog.Share{{Service: "llm", Weight: 1}}})
	}
	return hosting.KeyedRecord{Key: "config", Value: encodeJSON(tb, cfg)}
}

// apply applies records of a topic as a page of the store does, and publishes the
// resulting state.
func (c *scaleControl) apply(id feedID, records ...hosting.KeyedRecord) {
	for i := range records {
		records[i].Offset = c.offsets[id]
		c.offsets[id]++
	}
	c.handle(c.now, feedPage{feed: id, page: hosting.KeyedPage{Records: records, End: c.offsets[id]}})
	c.settle()
}

// settle publishes the state like the loop of the control goroutine.
func (c *scaleControl) settle() {
	if c.dirty {
		c.dirty = false
		c.publish(c.now)
	}
	c.heartbeatDue = false
}

// scaleSizes are the daemons and backend servers of the users' deployments, from the
// smallest to the long-term target.
var scaleSizes = []struct{ daemons, servers int }{{8, 13}, {62, 50}, {295, 249}, {320, 2900}}

func benchmarkScale(b *testing.B, step func(b *testing.B, c *scaleControl, daemons, servers, n int)) {
	for _, size := range scaleSizes {
		b.Run(fmt.Sprintf("daemons=%d/servers=%d", size.daemons, size.servers), func(b *testing.B) {
			c := newScaleControl(b, size.daemons, size.servers, 20)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				step(b, c, size.daemons, size.servers, n)
			}
		})
	}
}

// BenchmarkServerChanges measures a record of one server that starts to drain or is
// replaced.
func BenchmarkServerChanges(b *testing.B) {
	benchmarkScale(b, func(b *testing.B, c *scaleControl, _, servers, n int) {
		c.apply(feedServers, serverOf(b, n%servers, int64(n), n%2 == 0))
	})
}

// BenchmarkServerRepeats measures a record of a server that says nothing new.
func BenchmarkServerRepeats(b *testing.B) {
	benchmarkScale(b, func(b *testing.B, c *scaleControl, _, servers, n int) {
		c.apply(feedServers, serverOf(b, n%servers, 1, false))
	})
}

// BenchmarkMemberChanges measures a daemon that begins a planned stop, and the
// record of its next process.
func BenchmarkMemberChanges(b *testing.B) {
	benchmarkScale(b, func(b *testing.B, c *scaleControl, daemons, _, n int) {
		i := 1 + n/2%(daemons-1)
		if n%2 == 0 {
			entry := c.memberTable.load()[fmt.Sprint("vm-", i)]
			c.handle(c.now, peerMessage{from: fmt.Sprint("vm-", i), message: &Heartbeat{Incarnation: entry.Incarnation, Stopping: true}})
			c.settle()
			return
		}
		c.apply(feedMembers, memberOf(b, i, fmt.Sprint(n)))
	})
}

// BenchmarkConfigChanges measures a new version of a configuration with 1,400
// routes.
func BenchmarkConfigChanges(b *testing.B) {
	benchmarkScale(b, func(b *testing.B, c *scaleControl, _, _, n int) {
		c.apply(feedConfig, configOf(b, 1400, int64(n+2)))
	})
}

// BenchmarkTicks measures one tick of a daemon at rest.
func BenchmarkTicks(b *testing.B) {
	benchmarkScale(b, func(_ *testing.B, c *scaleControl, _, _, _ int) {
		c.now = c.now.Add(tickInterval)
		for _, vm := range c.members.Peers() {
			c.members.Step(c.now, member.HeartbeatReceived{From: vm})
		}
		c.handle(c.now, controlTask{run: func(now time.Time) { c.host.Tick(now); c.tickFeeds(now) }})
		c.settle()
	})
}

// BenchmarkHeartbeats measures a heartbeat that says nothing new.
func BenchmarkHeartbeats(b *testing.B) {
	benchmarkScale(b, func(_ *testing.B, c *scaleControl, _, _, _ int) {
		c.now = c.now.Add(time.Millisecond)
		for _, vm := range c.members.Peers() {
			c.handle(c.now, peerMessage{from: vm, message: &Heartbeat{Feeds: c.feedStates(c.now)}})
		}
	})
}
