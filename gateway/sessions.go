package gateway

import "sync"

const sessionShards = 64

// Sessions holds the running requests by key. Requests access it only at their
// start and end, not for each token.
type Sessions struct {
	shards [sessionShards]sessionShard
}

type sessionShard struct {
	mu    sync.Mutex
	byKey map[KeyHash]map[*session]struct{}
}

type session struct{ end func(cause error) }

func newSessions() *Sessions {
	s := &Sessions{}
	for i := range s.shards {
		s.shards[i].byKey = map[KeyHash]map[*session]struct{}{}
	}
	return s
}

func (s *Sessions) shard(key KeyHash) *sessionShard {
	return &s.shards[key[0]%sessionShards]
}

// add registers a request and returns the function that removes it. end is not
// called after remove has returned.
func (s *Sessions) add(key KeyHash, end func(cause error)) (remove func()) {
	entry := &session{end: end}
	shard := s.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byKey[key] == nil {
		shard.byKey[key] = map[*session]struct{}{}
	}
	shard.byKey[key][entry] = struct{}{}
	return func() { shard.remove(key, entry) }
}

func (s *sessionShard) remove(key KeyHash, entry *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byKey[key], entry)
	if len(s.byKey[key]) == 0 {
		delete(s.byKey, key)
	}
}

// Withdraw ends the running requests of a key with the error code
// "key_withdrawn" and returns their number. It must be called after the
// Directory has stopped returning the key.
func (s *Sessions) Withdraw(key KeyHash) int { return s.end(key, errWithdrawn) }

func (s *Sessions) end(key KeyHash, cause error) int {
	shard := s.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for entry := range shard.byKey[key] {
		entry.end(cause)
	}
	return len(shard.byKey[key])
}

// EndUnverified ends the running requests of all keys, because the daemon has
// been unable to verify the keys for too long. It returns the number of
// requests.
func (s *Sessions) EndUnverified() int {
	ended := 0
	for i := range s.shards {
		for _, key := range s.shards[i].keys() {
			ended += s.end(key, errUnverified)
		}
	}
	return ended
}

// WithdrawInvalid ends the running requests of all keys for which valid returns
// false, and returns their number. It is used after the whole table was
// replaced.
func (s *Sessions) WithdrawInvalid(valid func(KeyHash) bool) int {
	ended := 0
	for i := range s.shards {
		for _, key := range s.shards[i].keys() {
			if !valid(key) {
				ended += s.Withdraw(key)
			}
		}
	}
	return ended
}

func (s *sessionShard) keys() []KeyHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]KeyHash, 0, len(s.byKey))
	for key := range s.byKey {
		keys = append(keys, key)
	}
	return keys
}
