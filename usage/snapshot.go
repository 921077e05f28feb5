package usage

import (
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/record"
)

// snapshot is the encoded form of a State in a checkpoint.
type snapshot struct {
	Lease   lease.State              `cbor:"1,keyasint"`
	Size    int64                    `cbor:"2,keyasint"`
	Next    int64                    `cbor:"3,keyasint"`
	From    int64                    `cbor:"4,keyasint"`
	Reports []Report                 `cbor:"5,keyasint,omitempty"`
	Dropped int64                    `cbor:"6,keyasint"`
	Pending []Row                    `cbor:"7,keyasint,omitempty"`
	Sources map[string]countedDeltas `cbor:"8,keyasint"`
}

// Snapshot implements record.State.
func (s *State) Snapshot() []byte {
	snap := snapshot{s.Lease, s.Size, s.Next, s.From, s.Reports, s.Dropped, nil, s.sources}
	for _, k := range s.keys() {
		snap.Pending = append(snap.Pending, Row{k.customer, k.resource, k.window, s.pending[k]})
	}
	return record.EncodeBody(snap)
}

// Restore implements record.State.
func (s *State) Restore(data []byte) error {
	snap := snapshot{Lease: lease.NewState()}
	if err := record.DecodeBody(data, &snap); err != nil {
		return err
	}
	restored := NewState(snap.Size)
	restored.Lease = snap.Lease
	restored.Next = snap.Next
	restored.From = snap.From
	restored.Reports = snap.Reports
	restored.Dropped = snap.Dropped
	for _, r := range snap.Pending {
		restored.pending[rowKey{r.Window, r.Customer, r.Resource}] = r.Sum
	}
	for id, src := range snap.Sources {
		restored.sources[id] = src
	}
	*s = *restored
	return nil
}

// Reset implements record.State. Only windows that start after the time of the
// genesis record are closed, because earlier ones may already be reported.
func (s *State) Reset(e record.Entry) {
	*s = *NewState(s.Size)
	s.Lease.Reset(e)
	var body record.GenesisBody
	if record.DecodeBody(e.Body, &body) != nil {
		return
	}
	s.From = (body.AtMs/1000/s.Size + 1) * s.Size
	s.Next = s.From
}
