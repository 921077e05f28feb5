package reach

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/event"
)

const (
	// proofTimeout bounds an attempt to show that this daemon reaches a server.
	proofTimeout = 100 * time.Millisecond
	// proofServers is the number of servers that are tried first, and maxProofServers the
	// number of all. If none of the first answers, the others are tried together.
	proofServers, maxProofServers = 3, 12
)

// proof says whether this daemon opens connections over its own paths.
type proof int

const (
	// proofNone means that no other server could be tried.
	proofNone proof = iota
	proofReaches
	proofCut
)

// prover shows whether this daemon reaches servers. A refused connection may mean that the
// server has ended or that the path is cut, and so may several; a connection that was
// opened to another server afterwards tells.
type prover struct {
	once sync.Once
	// turn is held by the goroutine that tries servers. The others wait for its result.
	turn chan struct{}
	// cutAt is the begin of the last proof that opened no connection.
	cutAt time.Time
}

// Reaches reports whether this daemon opens connections to servers. It may open some over
// the own path, to others than addr, unless one was opened since a time.
func (d *Dialer) Reaches(ctx context.Context, addr string, since time.Time) bool {
	switch d.prove(ctx, addr, since) {
	case proofReaches:
		return true
	case proofCut:
		return false
	}
	return d.Table.Reaches()
}

// OpenForOther opens a connection over the own path on behalf of another daemon. If that
// fails, reaches is as in Reaches; it is false if that isn't known in time.
func (d *Dialer) OpenForOther(ctx context.Context, addr string) (conn net.Conn, reaches bool, err error) {
	began := time.Now()
	proofs := make(chan bool, 1)
	seek := sync.OnceFunc(func() {
		go func() { proofs <- d.Reaches(context.WithoutCancel(ctx), addr, began) }()
	})
	early := time.AfterFunc(relayAfter, seek)
	defer early.Stop()
	limited, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if conn, err = d.Direct(limited, "tcp", addr); err == nil {
		d.Table.Opened(time.Now(), addr, time.Since(began))
		return conn, false, nil
	}
	d.Table.Failed(time.Now(), addr)
	seek()
	select {
	case reaches = <-proofs:
	case <-time.After(time.Until(began.Add(relayAfter + 2*proofTimeout))):
	}
	return nil, reaches, err
}

func (d *Dialer) prove(ctx context.Context, addr string, since time.Time) proof {
	d.prover.once.Do(func() { d.prover.turn = make(chan struct{}, 1) })
	if d.Table.OpenedSince(since) {
		return proofReaches
	}
	var listed []string
	if d.Servers != nil {
		listed = d.Servers(maxProofServers)
	}
	servers := d.Table.candidates(listed, addr)
	if len(servers) == 0 {
		return proofNone
	}
	select {
	case d.prover.turn <- struct{}{}:
		defer func() { <-d.prover.turn }()
	case <-ctx.Done():
		return proofNone
	}
	if d.Table.OpenedSince(since) {
		return proofReaches
	}
	if d.prover.cutAt.After(since) {
		return proofCut
	}
	began := time.Now()
	servers = servers[:min(len(servers), maxProofServers)]
	first := min(len(servers), proofServers)
	if d.openAny(servers[:first]) || d.openAny(servers[first:]) {
		return proofReaches
	}
	d.prover.cutAt = began
	return proofCut
}

// openAny reports whether a connection to one of the servers can be opened over the own
// path.
func (d *Dialer) openAny(servers []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	results := make(chan bool, len(servers))
	for _, addr := range servers {
		go func() {
			began := time.Now()
			conn, err := d.Direct(ctx, "tcp", addr)
			if err == nil {
				_ = conn.Close() // Nothing was sent.
				d.opened(addr, time.Since(began))
			}
			results <- err == nil
		}()
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return false
}

// opened records a connection that was opened over the own path.
func (d *Dialer) opened(addr string, took time.Duration) {
	if d.Table.Opened(time.Now(), addr, took) {
		d.Events.Record(event.KindConfig, "path_healed", addr)
		d.OnHealed(addr)
	}
}
