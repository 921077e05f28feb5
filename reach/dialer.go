package reach

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/event"
)

const (
	// relayAfter is the least time after which other daemons are asked for a connection
	// that was not opened over the own path, and brokenAfter the least time without an
	// answer after which that path counts as broken if another daemon has opened one
	// meanwhile. Both grow with the time that the last connection took.
	relayAfter  = 40 * time.Millisecond
	brokenAfter = 100 * time.Millisecond
	// relayFactor and brokenFactor are their ratios to that time.
	relayFactor, brokenFactor = 2, 4
	// nextAfter is the time after which one more daemon is asked.
	nextAfter = 60 * time.Millisecond
	// MaxRelays is the number of daemons that are asked for one connection.
	MaxRelays = 3
	// openTimeout bounds the opening of a connection, and relayTimeout the opening on
	// behalf of another daemon.
	openTimeout  = 400 * time.Millisecond
	relayTimeout = 200 * time.Millisecond
)

var (
	openedDirect = metrics.NewCounter(`mimosakeel_reach_connections_total{way="direct"}`)
	openedRelay  = metrics.NewCounter(`mimosakeel_reach_connections_total{way="relay"}`)
	failedPath   = metrics.NewCounter(`mimosakeel_reach_failures_total{cause="path"}`)
	failedServer = metrics.NewCounter(`mimosakeel_reach_failures_total{cause="server"}`)
)

// Relay is another daemon that opens connections to servers on behalf of this one.
type Relay struct {
	VM, Addr string
}

// RelayError is the error of a relay that could not open a connection to the server.
type RelayError struct {
	// Refused is set if the server's machine refused the connection.
	Refused bool
	// Reaches is set if the relay opens connections to other servers, so that its failure
	// says something about this one.
	Reaches bool
	Text    string
}

func (e *RelayError) Error() string { return "relay: " + e.Text }

// Dialer opens connections to servers.
type Dialer struct {
	Table *Table
	// Direct opens a connection over the own path.
	Direct backend.DialFunc
	// Relays returns the daemons that may be asked for a connection to a server, best
	// first.
	Relays func(addr string) []Relay
	// Alone reports whether no other daemon opens connections for this one.
	Alone func() bool
	// Open opens a connection through a relay. It returns a *RelayError if the relay
	// could not open it.
	Open func(ctx context.Context, relay Relay, addr string) (net.Conn, error)
	// OnBroken is called when the own path to a server was found to be broken. silent is
	// set if packets are lost, so that open connections do not deliver either. OnHealed
	// is called when the path works again.
	OnBroken func(addr string, silent bool, since time.Time)
	OnHealed func(addr string)
	// Servers returns up to n addresses of listed servers; nil if none are listed.
	Servers func(n int) []string
	Events  *event.Recorder

	prover prover
}

// result is the result of one way to open a connection, or of the proof that this daemon
// reaches other servers.
type result struct {
	conn  net.Conn
	err   error
	relay *Relay
	proof *proof
}

// Dial opens a connection to a server over the way that is first. It fails with a
// *backend.PathError unless the failure shows that the server is down.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	o := &opening{Dialer: d, network: network, addr: addr, began: time.Now(), results: make(chan result, MaxRelays+2)}
	// The ways that lost go on for a while: their results tell whether the path is broken.
	o.ctx, o.cancel = context.WithTimeout(context.WithoutCancel(ctx), openTimeout)
	defer cancel()
	conn, err := o.run(ctx)
	go o.finish()
	return conn, err
}

// opening is the state of one Dial.
type opening struct {
	*Dialer
	ctx           context.Context
	cancel        context.CancelFunc
	network, addr string
	began         time.Time
	way           Way
	results       chan result

	// relays holds the relays once they are needed.
	relays []Relay
	listed bool
	asked  int
	// next fires when one more relay is to be asked, since the last one has not answered.
	next *time.Timer
	// pending is the number of ways whose result is due.
	pending int
	// direct and relayed hold the errors of the ways that failed.
	direct  error
	relayed []error
	// reaches is the proof that is sought once the own path has failed or is slow, and
	// proving is set until it is known.
	reaches         proof
	sought, proving bool
	// directPending is set while the own path has not answered, and relayWon once a relay
	// has opened the connection.
	triedDirect, directPending, relayWon bool
}

func (o *opening) run(ctx context.Context) (net.Conn, error) {
	o.way = o.Table.Choose(o.began, o.addr)
	if !o.way.Direct && len(o.relayList()) == 0 {
		return nil, o.failure()
	}
	o.next = time.NewTimer(max(relayAfter, relayFactor*o.way.Usual))
	defer o.next.Stop()
	if o.way.Direct {
		o.tryDirect()
	}
	if o.way.Relay {
		o.askNext()
	}
	for {
		select {
		case r := <-o.results:
			if conn := o.take(r); conn != nil {
				return conn, nil
			}
			if r.relay != nil && o.askNext() || o.pending > 0 || o.askNext() || o.tryDirect() {
				continue
			}
			if !o.proving {
				return nil, o.failure()
			}
		case <-o.next.C:
			if o.directPending {
				o.seekProof() // So that it is known when the own path fails.
			}
			if !o.askNext() && o.witnessed() {
				return nil, o.failure()
			}
		case <-ctx.Done():
			return nil, o.failure()
		}
	}
}

func (o *opening) relayList() []Relay {
	if !o.listed {
		o.listed, o.relays = true, o.Relays(o.addr)
	}
	return o.relays
}

// askNext asks one more relay. It returns false if there is none.
func (o *opening) askNext() bool {
	list := o.relayList()
	o.next.Reset(nextAfter)
	if o.asked >= min(len(list), MaxRelays) {
		return false
	}
	o.start(&list[o.asked])
	o.asked++
	return true
}

// tryDirect tries the own path. It returns false if that was tried before.
func (o *opening) tryDirect() bool {
	if o.triedDirect {
		return false
	}
	o.triedDirect, o.directPending = true, true
	o.start(nil)
	return true
}

// start tries one way; nil is the own path.
func (o *opening) start(relay *Relay) {
	o.pending++
	go func() {
		r := result{relay: relay}
		if relay == nil {
			r.conn, r.err = o.Direct(o.ctx, o.network, o.addr)
		} else {
			r.conn, r.err = o.Open(o.ctx, *relay, o.addr)
		}
		o.results <- r
	}()
}

// take records a result and returns the connection if it was opened.
func (o *opening) take(r result) net.Conn {
	if r.proof != nil {
		o.proving, o.reaches = false, *r.proof
		return nil
	}
	o.pending--
	now := time.Now()
	switch {
	case r.relay == nil && r.err == nil:
		o.directPending = false
		openedDirect.Inc()
		o.opened(o.addr, now.Sub(o.began))
	case r.relay == nil:
		o.directPending, o.direct = false, r.err
		o.Table.Failed(now, o.addr)
		if !o.relayWon {
			o.seekProof()
		}
	case r.err == nil:
		openedRelay.Inc()
		o.relayWon = true
	default:
		o.relayed = append(o.relayed, r.err)
	}
	if o.relayWon && o.direct != nil {
		o.broken(now, !errors.Is(o.direct, syscall.ECONNREFUSED), errorText(o.direct))
	}
	return r.conn
}

// seekProof finds out whether this daemon reaches other servers.
func (o *opening) seekProof() {
	if o.sought {
		return
	}
	o.sought, o.proving = true, true
	go func() {
		found := o.prove(o.ctx, o.addr, o.began)
		o.results <- result{proof: &found}
	}()
}

// broken records that the own path is broken while the server takes connections.
func (o *opening) broken(now time.Time, silent bool, cause string) {
	news := o.Table.Broken(now, o.addr)
	if news {
		o.Events.Record(event.KindFault, "path_broken", o.addr, event.F("error", cause))
	}
	o.OnBroken(o.addr, silent, o.began)
}

// finish collects the results of the ways that go on after Dial has returned.
func (o *opening) finish() {
	defer o.cancel()
	patience := time.NewTimer(max(time.Until(o.began.Add(max(brokenAfter, brokenFactor*o.way.Usual))), 0))
	defer patience.Stop()
	for o.pending > 0 {
		if !o.directPending {
			o.cancel()
		}
		select {
		case r := <-o.results:
			if conn := o.take(r); conn != nil {
				_ = conn.Close() // Nothing was sent.
			}
		case <-patience.C:
			if o.relayWon && o.directPending {
				o.broken(time.Now(), true, "no answer")
			}
		}
	}
}

// witnesses returns the number of relays that can't open a connection although they reach
// other servers, as far as they know, and whether a relay has answered.
func (o *opening) witnesses() (n int, answered bool) {
	for _, relayed := range o.relayed {
		var failed *RelayError
		if errors.As(relayed, &failed) {
			answered = true
			if failed.Reaches {
				n++
			}
		}
	}
	return n, answered
}

// self reports whether this daemon can't open a connection although it reaches others, as
// far as it knows.
func (o *opening) self() bool {
	return o.direct != nil && (o.reaches == proofReaches || o.reaches == proofNone && o.Table.Reaches())
}

// witnessed reports whether relays that have not answered need not be waited for, since two
// daemons say that the server is at fault.
func (o *opening) witnessed() bool {
	n, _ := o.witnesses()
	return !o.directPending && !o.proving && (n > 1 || n == 1 && o.self())
}

// serverAtFault reports, after all ways have failed, whether the server is at fault: a
// relay says so, this daemon has just reached another server, or none has answered and this
// daemon reaches others as far as it knows, or there is nobody to ask.
func (o *opening) serverAtFault() bool {
	n, answered := o.witnesses()
	if answered {
		return n > 0 || o.reaches == proofReaches
	}
	return o.self() || o.direct != nil && o.Alone() && !o.Table.Cut()
}

// failure returns the error after all ways have failed.
func (o *opening) failure() error {
	err := o.direct
	if err == nil {
		err = eris.Wrapf(context.DeadlineExceeded, "no connection to %s", o.addr)
	}
	if !o.serverAtFault() {
		failedPath.Inc()
		return &backend.PathError{Err: errors.Join(append([]error{err}, o.relayed...)...)}
	}
	failedServer.Inc()
	for _, relayed := range o.relayed {
		var failed *RelayError
		if errors.As(relayed, &failed) && failed.Reaches {
			err = failed.cause()
		}
	}
	return dialError(o.network, err)
}

// cause returns the error with which the relay's own attempt failed.
func (e *RelayError) cause() error {
	if e.Refused {
		return syscall.ECONNREFUSED
	}
	return e
}

// dialError returns err as an error of opening a connection.
func dialError(network string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
