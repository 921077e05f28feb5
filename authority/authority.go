// Package authority elects the daemon that may act for the whole system. The
// authority is a lease in a keyed topic of the platform's store. Every append to
// the topic is conditional on the end offset that its author knows, so the
// author of the newest record knows that no other record came in between.
//
// Machine is the state machine of one daemon, both as holder and as challenger.
// It has no clock and does no I/O: the caller passes the time, carries out the
// returned actions and steps the machine with their results. Times come from a
// monotonic clock that continues while the process or its VM is suspended.
//
// Invariants: a holder's authority ends before any other daemon may claim it;
// the term, which is the position of the claim, increases with every holder, also
// over the histories of the store; at most one append is in flight.
package authority

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Config holds the timing of the lease. All daemons must use the same Duration
// and Margin.
type Config struct {
	// Duration is the time from sending a record until the lease that it grants or
	// renews expires.
	Duration time.Duration
	// Renewal is the interval at which an idle holder renews the lease.
	Renewal time.Duration
	// Margin covers clock drift: a holder stops earlier by Margin, and a challenger
	// waits longer by Margin.
	Margin time.Duration
	// RankDelay is the time that a challenger waits for each challenger of a lower
	// rank, so that they rarely claim at the same time.
	RankDelay time.Duration
	// RetryDelay is the pause before a call to the store is repeated: a read after
	// another read or after an append whose outcome is unknown, and an append after
	// a refused one.
	RetryDelay time.Duration
	// Cooldown is the time after a daemon has lost the authority in which it does
	// not act even if it regains the authority, so that two holders never
	// alternate within that time.
	Cooldown time.Duration
}

// DefaultConfig returns the timing that suits a lease duration.
func DefaultConfig(duration time.Duration) Config {
	return Config{
		Duration:   duration,
		Renewal:    duration / 3,
		Margin:     duration / 15,
		RankDelay:  duration / 10,
		RetryDelay: duration / 15,
		Cooldown:   duration,
	}
}

// LeaseKey is the key of the record that names the holder.
const LeaseKey = "lease"

// Envelope is the value of every record of the topic.
type Envelope struct {
	// Holder is the incarnation of the author, and VM is the author's VM.
	Holder string `json:"holder"`
	VM     string `json:"vm"`
	// Nonce is unique among the records of one author.
	Nonce int64 `json:"nonce"`
	// Term is the author's term. It is hosting.NoOffset in a claim, whose term is
	// the offset of the record itself.
	Term int64 `json:"term"`
	// Released is set when the author has given up the authority.
	Released bool `json:"released,omitempty"`
	// History is the history of the store in which the record was written. A record in
	// a later history is from the copy with which that history began, and its author may
	// have been succeeded by a holder of whom the store knows nothing.
	History int64           `json:"history,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Decode decodes the value of a record.
func Decode(value []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record of the lease topic")
	}
	return e, nil
}

// Observation is a daemon's knowledge of the newest record of the topic. Daemons
// pass it on to each other in heartbeats.
type Observation struct {
	// End is the offset after the newest record; 0 for an empty topic.
	End int64
	// VM, Term and Released describe the holder. Term is hosting.NoOffset if there
	// is none.
	VM       string
	Term     int64
	Released bool
	// At is a time at which the record was already in the topic, or at which its
	// append was first sent.
	At time.Time
}

// Event is an input of Machine.
type Event interface{ isEvent() }

// ObservationReceived reports the observation of another daemon.
type ObservationReceived struct{ Observation Observation }

// Read is the answer to ReadTopic. Records may be empty.
type Read struct {
	End     int64
	Records []hosting.KeyedRecord
}

// ReadFailed reports that a read failed.
type ReadFailed struct{}

// Appended is the answer to an Append.
type Appended struct {
	Nonce   int64
	Offset  int64
	Outcome hosting.Outcome
	// Conflict is set if the topic did not end at the expected offset.
	Conflict bool
}

// Rank sets the daemon's rank among the challengers. Rank 0 claims first; a
// negative rank means that the daemon does not claim.
type Rank struct{ Rank int }

// Stop requests a planned stop: the daemon releases the authority if it holds it
// and does not claim it again.
type Stop struct{}

// Tick lets the machine check its timers.
type Tick struct{}

func (ObservationReceived) isEvent() {}
func (Read) isEvent()                {}
func (ReadFailed) isEvent()          {}
func (Appended) isEvent()            {}
func (Rank) isEvent()                {}
func (Stop) isEvent()                {}
func (Tick) isEvent()                {}

// Action is an output of Machine.
type Action interface{ isAction() }

// Append asks the caller to append Record if the topic ends at offset At.
type Append struct {
	At     int64
	Nonce  int64
	Record hosting.KeyedRecord
}

// ReadTopic asks for the records from offset From on, or for the newest record
// of each key if From is hosting.NoOffset.
type ReadTopic struct{ From int64 }

// Gained reports that the daemon may act from now on.
type Gained struct{ Term int64 }

// Lost reports that the daemon may no longer act.
type Lost struct{ Term int64 }

// RecordAppended reports that a submitted record is in the topic.
type RecordAppended struct{ Key string }

// Stopped reports that a planned stop is complete.
type Stopped struct{}

func (Append) isAction()         {}
func (ReadTopic) isAction()      {}
func (Gained) isAction()         {}
func (Lost) isAction()           {}
func (RecordAppended) isAction() {}
func (Stopped) isAction()        {}
