package edge

import (
	"time"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/versionpin"
)

// servingInterval is the maximum time between two calls of setServing.
const servingInterval = time.Second

func (d *Daemon) newVersionPins() *versionpin.Pins {
	return versionpin.New(versionpin.Config{
		Topics:       d.Topics,
		VersionTopic: d.Source.VersionTopic,
		StreamTopic:  d.Source.StreamTopic,
		VM:           d.Settings.VM,
		Events:       d.Events,
		Daemons:      func() int { return len(d.control.memberTable.load()) },
		Holders:      d.streamHolders,
		Tell:         func(vm string, m *versionpin.Copies) { d.send(vm, &StreamCopies{Copies: *m}) },
	})
}

// StreamCopies tells a daemon of streams that have begun at another one.
type StreamCopies struct {
	versionpin.Copies
}

// MessageKind implements peer.Message.
func (*StreamCopies) MessageKind() peer.Kind { return kindStreamCopies }

// streamHolders returns up to n other daemons that hold copies of this one's streams.
func (d *Daemon) streamHolders(n int) []versionpin.Holder {
	var out []versionpin.Holder
	members := d.control.memberTable.load()
	for _, vm := range d.control.view.Load().routable.Ranks("streams/"+d.Settings.VM, n+1) {
		if vm != d.Settings.VM && len(out) < n {
			out = append(out, versionpin.Holder{VM: vm, Process: vm + "/" + members[vm].Incarnation})
		}
	}
	return out
}

// publishServing passes on the versions at which streams may begin, and the longest time
// that a stream may take.
func (c *control) publishServing(now time.Time) {
	cat := c.catalog.Load()
	if cat == nil || c.feeds[feedServers].replica.End() == hosting.NoOffset {
		return
	}
	c.servingAt = now
	c.publishVersions()
	services := map[string]bool{}
	longest := time.Duration(0)
	cat.Routes(func(r *catalog.Route) {
		if r.Kind != catalog.KindStreaming || !r.Resumable {
			return
		}
		longest = max(longest, r.Timeout)
		for _, share := range r.Shares {
			services[share.Service] = true
		}
	})
	serving := map[versionpin.Version]bool{}
	view := c.servers.Load()
	for service := range services {
		for _, s := range view.ofService(service) {
			serving[versionpin.Version{Service: service, Name: s.SoftwareVersion}] = true
		}
	}
	c.setServing(serving, longest, !c.storeUnavailable)
}

// publishVersions passes on the replica of the topic of versions.
func (c *control) publishVersions() {
	r := c.feeds[feedVersions].replica
	if r.End() != hosting.NoOffset && r.Complete() {
		c.setVersions(hosting.KeyedPage{End: r.End(), Records: r.Since(hosting.NoOffset, hosting.NoOffset).Records}, r.Fresh())
	}
}
