package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
)

const (
	kvTimeout          = 30 * time.Second
	maxKVResponseBytes = 4 << 20
	codeMalformed      = "malformed"
)

// postExport exports the leading wanted blocks that are cached. It answers when
// the simulated transfer has ended.
func (s *Server) postExport(w http.ResponseWriter, r *http.Request) {
	var wanted backend.KVBlocks
	if json.NewDecoder(r.Body).Decode(&wanted) != nil {
		writeError(w, http.StatusBadRequest, codeMalformed)
		return
	}
	blocks, ok := s.transfer(r, func(key string) { s.core.Export(s.now(), key, wanted.Blocks) })
	if ok {
		writeJSON(w, http.StatusOK, backend.KVBlocks{Model: wanted.Model, Blocks: blocks})
	}
}

// postImport fetches blocks from another engine and answers with the blocks
// that this engine cached.
func (s *Server) postImport(w http.ResponseWriter, r *http.Request) {
	var wanted backend.KVBlocks
	if json.NewDecoder(r.Body).Decode(&wanted) != nil || wanted.Source == "" {
		writeError(w, http.StatusBadRequest, codeMalformed)
		return
	}
	exported, err := fetchExport(r.Context(), wanted)
	if err != nil {
		writeError(w, http.StatusBadGateway, "export_failed")
		return
	}
	blocks, ok := s.transfer(r, func(key string) { s.core.Import(s.now(), key, exported) })
	if ok {
		writeJSON(w, http.StatusOK, backend.KVBlocks{Model: wanted.Model, Blocks: blocks})
	}
}

// fetchExport asks the source engine to export blocks and returns the exported
// ones.
func fetchExport(ctx context.Context, wanted backend.KVBlocks) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	body, err := json.Marshal(backend.KVBlocks{Model: wanted.Model, Blocks: wanted.Blocks})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, wanted.Source+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var exported backend.KVBlocks
	err = json.NewDecoder(io.LimitReader(response.Body, maxKVResponseBytes)).Decode(&exported)
	return exported.Blocks, err
}

// transfer starts a KV transfer in the core and waits for its end. It returns
// false if the client disconnects first.
func (s *Server) transfer(r *http.Request, start func(key string)) ([]uint64, bool) {
	s.mu.Lock()
	key := s.uniqueKey("kv")
	ended := make(chan struct{})
	s.signals[key] = ended
	start(key)
	s.dispatchEvents()
	s.mu.Unlock()
	s.wakeLoop()
	select {
	case <-ended:
	case <-r.Context().Done():
		return nil, false
	case <-s.quit:
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	blocks := s.transfers[key]
	delete(s.transfers, key)
	return blocks, true
}
