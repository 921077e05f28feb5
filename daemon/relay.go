package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
)

const (
	// directTimeout is the time beyond its wait that a direct read may take. With it
	// and relayTimeout, a read that succeeds at its last peer stays below the default
	// withdrawal bound of 2 s.
	directTimeout = 500 * time.Millisecond
	// relayTimeout limits a read through a peer.
	relayTimeout = 700 * time.Millisecond
	// relayAttempts is the maximum number of peers that one read tries.
	relayAttempts = 2
)

// errNoPeer is returned if the log is unreachable and no live peer is known.
var errNoPeer = eris.New("log is unreachable and no peer is live")

// relayedLog reads the log directly and, if that fails, through a peer that
// reaches the log. Appends are never relayed.
type relayedLog struct {
	hosting.Log
	node *peer.Node
	view func() *view
	// observe is called with the result of direct reads, except reads at a trimmed
	// position.
	observe func(directRead)
	// reachable is true if the last direct read reached the log.
	reachable atomic.Bool
}

// Read implements hosting.Log.
func (l *relayedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (hosting.Page, error) {
	if !l.reachable.Load() {
		wait = 0
	}
	sent := time.Now()
	direct, cancel := context.WithTimeout(ctx, wait+directTimeout)
	page, err := l.Log.Read(direct, stream, from, limit, wait)
	cancel()
	var trimmed *hosting.TrimmedError
	ok := err == nil || eris.As(err, &trimmed)
	l.reachable.Store(ok)
	if err == nil || !ok {
		l.observe(directRead{sent: sent, next: page.Next, err: err})
	}
	if ok {
		return page, err
	}
	return l.readThroughPeer(ctx, ReadRequest{Stream: stream, From: from, Limit: limit})
}

func (l *relayedLog) readThroughPeer(ctx context.Context, request ReadRequest) (hosting.Page, error) {
	peers := l.view().peerAddrs
	err := errNoPeer
	for _, at := range rand.Perm(len(peers))[:min(relayAttempts, len(peers))] {
		var page hosting.Page
		page, err = l.readFrom(ctx, peers[at], request)
		var trimmed *hosting.TrimmedError
		if err == nil || eris.As(err, &trimmed) {
			return page, err
		}
	}
	return hosting.Page{}, err
}

func (l *relayedLog) readFrom(ctx context.Context, addr string, request ReadRequest) (hosting.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply ReadReply
	if err := l.node.Call(ctx, addr, &request, &reply); err != nil {
		return hosting.Page{}, err
	}
	if reply.Trimmed {
		return hosting.Page{}, &hosting.TrimmedError{Stream: request.Stream, First: reply.Page.First}
	}
	return reply.Page, nil
}

// serveRead answers the read of a peer from the log itself and never through
// another peer. Otherwise two daemons that can't reach the log could confirm an
// old position to each other.
func (l *relayedLog) serveRead(ctx context.Context, request *ReadRequest) (*ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	limit := min(max(request.Limit, 1), relayReadLimit)
	page, err := l.Log.Read(ctx, request.Stream, request.From, limit, 0)
	var trimmed *hosting.TrimmedError
	if eris.As(err, &trimmed) {
		return &ReadReply{Trimmed: true, Page: hosting.Page{First: trimmed.First}}, nil
	}
	if err != nil {
		return nil, err
	}
	page.Records = fitPage(page.Records)
	return &ReadReply{Page: page}, nil
}

// relayReadLimit is the maximum number of records of a relayed page.
const relayReadLimit = 64

// fitPage returns the longest prefix of the records whose data takes at most
// three quarters of a frame, but at least one record.
func fitPage(records []hosting.Record) []hosting.Record {
	const maxBytes = peer.MaxFrameBytes * 3 / 4
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}
