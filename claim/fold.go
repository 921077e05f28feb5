package claim

import (
	"slices"

	"github.com/mimosakeel/mimosakeel/record"
)

// entry is one claim as folded from the log.
type entry struct {
	claimBody
	// lastOffset is the highest offset of a record of this claim. The claim is
	// dropped when the log is trimmed above it; until then every reader sees at
	// least one of its records.
	lastOffset int64
	outcome    *Outcome
}

func (e *entry) released() bool { return e.outcome != nil && e.outcome.NotRun }

// fold is the state of one shard.
//
// A reader that starts after a claim was trimmed, but before its outcome was,
// puts the claim at the position of the outcome. The log's retention must
// therefore be longer than any request runs.
//
// Invariants: the state depends only on the records at or above the first
// readable offset; the claims of a key are in log order; the first outcome of a
// claim is final.
type fold struct {
	next  int64
	first int64
	keys  map[Key][]*entry
	// stopped is set by a record of a newer format.
	stopped bool
}

func newFold(first int64) *fold {
	return &fold{next: first, first: first, keys: map[Key][]*entry{}}
}

// holder returns the claim that holds the key, or nil.
func (f *fold) holder(key Key) *entry {
	for _, e := range f.keys[key] {
		if !e.released() {
			return e
		}
	}
	return nil
}

func (f *fold) find(key Key, id string) *entry {
	for _, e := range f.keys[key] {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// affectedClaim is a claim that a record contains or has an outcome for.
type affectedClaim struct {
	entry   *entry
	isClaim bool
}

// apply folds one record and returns the claims that it affects. All readers skip
// malformed records.
func (f *fold) apply(offset int64, data []byte) []affectedClaim {
	if f.stopped || offset < f.next {
		return nil
	}
	envelope, err := record.Decode(data)
	if err != nil && envelope.Format > record.Format {
		f.stopped = true
		return nil
	}
	f.next = offset + 1
	if err != nil {
		return nil
	}
	var body batchBody
	if envelope.Kind != KindBatch || record.DecodeBody(envelope.Body, &body) != nil {
		return nil
	}
	return append(f.applyOutcomes(offset, body.Outcomes, envelope.Author), f.applyClaims(offset, body.Claims, envelope.Author)...)
}

func (f *fold) applyClaims(offset int64, claims []claimBody, author string) []affectedClaim {
	var result []affectedClaim
	for i := range claims {
		if claims[i].Owner != author {
			continue
		}
		result = append(result, affectedClaim{entry: f.upsert(offset, &claims[i]), isClaim: true})
	}
	return result
}

func (f *fold) applyOutcomes(offset int64, outcomes []outcomeBody, author string) []affectedClaim {
	var result []affectedClaim
	for i := range outcomes {
		o := &outcomes[i]
		if o.Claim.Owner != author {
			continue
		}
		e := f.upsert(offset, &o.Claim)
		if e.outcome == nil {
			e.outcome = &o.Outcome
		}
		result = append(result, affectedClaim{entry: e})
	}
	return result
}

// upsert returns the entry of a claim and adds it if the claim is new.
func (f *fold) upsert(offset int64, body *claimBody) *entry {
	key := body.key()
	if e := f.find(key, body.ID); e != nil {
		e.lastOffset = offset
		return e
	}
	e := &entry{claimBody: *body, lastOffset: offset}
	f.keys[key] = append(f.keys[key], e)
	return e
}

// trim drops the claims whose records are all below first.
func (f *fold) trim(first int64) {
	if first <= f.first {
		return
	}
	f.first = first
	f.next = max(f.next, first)
	for key, entries := range f.keys {
		kept := slices.DeleteFunc(entries, func(e *entry) bool { return e.lastOffset < first })
		if len(kept) == 0 {
			delete(f.keys, key)
			continue
		}
		f.keys[key] = kept
	}
}
