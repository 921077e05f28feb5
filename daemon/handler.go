package daemon

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/schedule"
)

var messagesUnknown = metrics.NewCounter("mimosakeel_peer_messages_unknown_total")

// errUnknownCall is the error for a call of a kind that this version does not
// know.
var errUnknownCall = eris.New("unknown call")

// peerHandler implements peer.Handler.
type peerHandler struct {
	emit   func(any)
	grants *grantClient
	limits *limiter
	log    *relayedLog
}

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(kind peer.Kind) peer.Message {
	switch kind {
	case kindHeartbeat:
		return &Heartbeat{}
	case kindSliceRequest:
		return &SliceRequest{}
	case kindSliceReply:
		return &Slice{}
	case kindUsageCopy:
		return &UsageCopy{}
	case kindUsageConfirmed:
		return &UsageConfirmed{}
	}
	return schedule.NewMessage(kind)
}

// HandleMessage implements peer.Handler. It ignores unknown kinds, which come
// from newer versions.
func (h *peerHandler) HandleMessage(vm string, f peer.Frame) error {
	m := newMessage(f.Kind)
	if m == nil {
		messagesUnknown.Inc()
		return nil
	}
	if err := f.Decode(m); err != nil {
		return err
	}
	h.dispatch(vm, m)
	return nil
}

// dispatch passes a message to its handler on the traffic side or queues it for
// the control goroutine.
func (h *peerHandler) dispatch(vm string, m peer.Message) {
	switch m := m.(type) {
	case *schedule.GrantReply:
		h.grants.deliver(vm, m)
		return
	case *schedule.Vacate:
		h.grants.handleVacate(vm, m)
		return
	case *Slice:
		h.limits.receive(m)
		return
	}
	h.emit(peerMessage{from: vm, message: m})
}

// HandleCall implements peer.Handler.
func (h *peerHandler) HandleCall(ctx context.Context, _ string, f peer.Frame) (peer.Message, error) {
	if f.Kind == kindReadRequest {
		var request ReadRequest
		if err := f.Decode(&request); err != nil {
			return nil, err
		}
		return h.log.serveRead(ctx, &request)
	}
	messagesUnknown.Inc()
	return nil, errUnknownCall
}
