package record

import "bytes"

// maxPartialCheckpoints is the maximum number of incomplete checkpoints that a
// chain keeps. Each anchored daemon may be writing one answer to the same anchor
// request.
const maxPartialCheckpoints = 8

// checkpointBody is the body of a checkpoint after its parts were joined.
type checkpointBody struct {
	// MaxSeen is Chain.maxSeen as of the checkpoint's Seen. Without it a reader
	// anchored by the checkpoint could not decide on a genesis whose anchor
	// request was trimmed.
	MaxSeen int64  `cbor:"1,keyasint"`
	State   []byte `cbor:"2,keyasint"`
}

// Checkpoint returns the records of a checkpoint of the chain, which must be
// anchored. newID returns the ID of the next append. Each body has at most
// partBytes bytes.
func (c *Chain) Checkpoint(author string, newID func() string, partBytes int) []Envelope {
	body := EncodeBody(checkpointBody{MaxSeen: c.maxSeen, State: c.state.Snapshot()})
	var envelopes []Envelope
	for {
		e := c.Envelope(KindCheckpoint, author, newID(), body[:min(partBytes, len(body))])
		e.Part = len(envelopes)
		envelopes = append(envelopes, e)
		body = body[len(e.Body):]
		if len(body) == 0 {
			break
		}
	}
	for i := range envelopes {
		envelopes[i].Parts = len(envelopes)
	}
	return envelopes
}

// Envelope returns a record whose predecessor is the chain's head. Authors of
// chained records use it only while the chain is anchored.
func (c *Chain) Envelope(kind Kind, author, id string, body []byte) Envelope {
	return Envelope{
		Format:  Format,
		ID:      id,
		Kind:    kind,
		Subject: c.subject,
		Prev:    c.head,
		Seen:    c.Seen(),
		Author:  author,
		Body:    body,
	}
}

func (c *Chain) applyUnanchored(e Entry) []Decision {
	switch e.Kind {
	case KindCheckpoint:
		c.raiseMaxSeen(e)
		// The checkpoint stays in the buffer: a later one with a lower Seen may
		// anchor the chain, and the replay then needs this one's Seen.
		c.buffer = append(c.buffer, e)
		return c.anchorFromCheckpoint(e)
	case KindGenesis:
		return c.applyGenesisUnanchored(e)
	default:
		if u, ok := c.state.(UnchainedState); !ok || !u.Unchained(e.Kind) {
			c.raiseMaxSeen(e)
		}
		c.buffer = append(c.buffer, e)
		return []Decision{{e, Pending}}
	}
}

// anchorFromCheckpoint restores the state from a checkpoint if the checkpoint is
// complete and every later record is readable, and replays the buffered entries
// that the checkpoint does not cover.
func (c *Chain) anchorFromCheckpoint(e Entry) []Decision {
	snapshot, complete := c.parts.add(e)
	if !complete || e.Seen+1 < c.first {
		return []Decision{{e, Noted}}
	}
	var body checkpointBody
	if DecodeBody(snapshot, &body) != nil || c.state.Restore(body.State) != nil {
		return []Decision{{e, Rejected}}
	}
	c.head = e.Prev
	c.maxSeen = body.MaxSeen
	c.lastAnswered = max(c.lastAnswered, e.Seen)
	return append(c.replay(e.Seen), Decision{e, Noted})
}

func (c *Chain) applyGenesisUnanchored(e Entry) []Decision {
	request := genesisRequest(e)
	blocked := request < 0 || c.maxSeen >= request
	if blocked {
		return []Decision{{e, Stale}}
	}
	if request < c.first || c.lastPendingGenesis > request {
		c.lastPendingGenesis = e.Offset
		c.buffer = append(c.buffer, e)
		return []Decision{{e, Pending}}
	}
	c.restart(e)
	return append(c.replay(e.Offset), Decision{e, Accepted})
}

// replay marks the chain as anchored and folds the buffered entries above seen.
// It returns no decisions on checkpoints, which were returned when they were
// read.
func (c *Chain) replay(seen int64) []Decision {
	buffered := c.buffer
	c.buffer = nil
	c.anchored = true
	var decisions []Decision
	for _, b := range buffered {
		if b.Offset <= seen {
			continue
		}
		verdict := c.decide(b)
		if b.Kind != KindCheckpoint {
			decisions = append(decisions, Decision{b, verdict})
		}
	}
	return decisions
}

// decideGenesis accepts a genesis if and only if no record since its anchor
// request proves that an anchored author had read the request.
func (c *Chain) decideGenesis(e Entry) Verdict {
	request := genesisRequest(e)
	if request < 0 || c.maxSeen >= request {
		return Stale
	}
	c.restart(e)
	return Accepted
}

func (c *Chain) restart(e Entry) {
	c.state.Reset(e)
	c.head = e.Offset
	c.maxSeen = e.Offset
	c.lastAnswered = e.Offset
}

func (c *Chain) raiseMaxSeen(e Entry) {
	c.maxSeen = max(c.maxSeen, e.Seen)
}

// GenesisBody is the body of a genesis record.
type GenesisBody struct {
	// Request is the offset of the unanswered anchor request.
	Request int64 `cbor:"1,keyasint"`
	// AtMs is the author's Unix time in milliseconds.
	AtMs int64 `cbor:"2,keyasint"`
}

// genesisRequest returns the offset of the anchor request that a genesis names,
// or NoOffset if the record is invalid.
func genesisRequest(e Entry) int64 {
	var body GenesisBody
	if DecodeBody(e.Body, &body) != nil || body.Request >= e.Offset {
		return NoOffset
	}
	return body.Request
}

// maxParts is the maximum number of parts of a checkpoint.
const maxParts = 1024

// partBuffer joins the parts of checkpoints. Parts of different authors may be
// interleaved, and parts may arrive in any order and more than once.
type partBuffer struct {
	partial []partialCheckpoint
}

type partialCheckpoint struct {
	author   string
	seen     int64
	bodies   [][]byte
	received int
}

func (p *partBuffer) add(e Entry) (snapshot []byte, complete bool) {
	if e.Parts <= 1 {
		return e.Body, true
	}
	if e.Parts > maxParts || len(e.Body) == 0 {
		return nil, false
	}
	i := p.find(e)
	if i < 0 {
		i = p.start(e)
	}
	c := &p.partial[i]
	if c.bodies[e.Part] != nil {
		return nil, false
	}
	c.bodies[e.Part] = e.Body
	c.received++
	if c.received < e.Parts {
		return nil, false
	}
	snapshot = bytes.Join(c.bodies, nil)
	p.partial = append(p.partial[:i], p.partial[i+1:]...)
	return snapshot, true
}

func (p *partBuffer) find(e Entry) int {
	for i, c := range p.partial {
		if c.author == e.Author && c.seen == e.Seen && len(c.bodies) == e.Parts {
			return i
		}
	}
	return -1
}

func (p *partBuffer) start(e Entry) int {
	if len(p.partial) == maxPartialCheckpoints {
		p.partial = p.partial[1:]
	}
	p.partial = append(p.partial, partialCheckpoint{author: e.Author, seen: e.Seen, bodies: make([][]byte, e.Parts)})
	return len(p.partial) - 1
}

// LastRequest returns the offset of the last anchor request, or NoOffset.
func (c *Chain) LastRequest() int64 { return c.lastRequest }
