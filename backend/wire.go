// Package backend defines the wire formats of engines and plain services and
// contains the HTTP clients for them.
package backend

// Header names of the engine protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderResumeFrom is the position of the first token that the caller still
	// needs; the engine skips earlier tokens.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderDeadlineMs is the time left until the first token is due, in
	// milliseconds.
	HeaderDeadlineMs = "X-Deadline-Ms"
	// HeaderCustomer is the name of the customer, for audit by the backend server.
	// It never contains a key.
	HeaderCustomer = "X-Customer"
)

// Role is the phase of inference that an engine accepts work for.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Load is a load report of an engine. It is already outdated when it arrives.
type Load struct {
	Engine string `json:"engine"`
	// Seq increases with each report of one engine process.
	Seq uint64 `json:"seq"`
	// AtMs is the Unix time in milliseconds at which the counts were taken.
	AtMs  int64  `json:"at_ms"`
	Role  Role   `json:"role"`
	Model string `json:"model"`
	// Models are the model names that requests can use: Model and its adapters.
	Models []string `json:"models"`
	// Version is the loaded version of Model; empty if no order specified one.
	Version       string `json:"version,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	PrefillTokens int    `json:"prefill_tokens"`
	DecodeTokens  int    `json:"decode_tokens"`
	// KVUsed and KVTotal are in tokens.
	KVUsed  int  `json:"kv_used"`
	KVTotal int  `json:"kv_total"`
	Leaving bool `json:"leaving"`
}

// CacheOp is the operation of a cache event.
type CacheOp string

// The cache operations.
const (
	CacheStore CacheOp = "store"
	CacheEvict CacheOp = "evict"
)

// CacheEvent reports that an engine stored a block in its prefix cache or evicted
// one.
type CacheEvent struct {
	Seq uint64  `json:"seq"`
	Op  CacheOp `json:"op"`
	// Block is the hash of the prefix that ends with this block; see
	// PrefixBlocks.
	Block uint64 `json:"block"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// Command is the action that an order requests from an engine.
type Command string

// The commands of engine orders.
const (
	// CommandFence only raises the highest fencing token that the engine has
	// accepted.
	CommandFence   Command = "fence"
	CommandLoad    Command = "load"
	CommandUnload  Command = "unload"
	CommandSetRole Command = "set_role"
	CommandDrain   Command = "drain"
	CommandUndrain Command = "undrain"
)

// Order is the body of an order to an engine.
type Order struct {
	// ID is the idempotency key: the offset of the intent record.
	ID string `json:"id"`
	// Fence is the fencing token: the term of the sender's lease.
	Fence   int64   `json:"fence"`
	Command Command `json:"command"`
	Role    Role    `json:"role,omitempty"`
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
	// Sender is the incarnation of the process that sends the order, for audit.
	Sender string `json:"sender"`
}

// OrderResult is the response of an engine to an order.
type OrderResult struct {
	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
	// Fence is the highest fencing token that the engine has accepted.
	Fence int64 `json:"fence"`
}

// Values of OrderResult.Result and OrderResult.Error.
const (
	ResultDone      = "done"
	ErrorStaleFence = "stale_fence"
	ErrorBusy       = "busy"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the request body of both completion routes. Chat requests
// set Messages, plain ones Prompt.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Usage holds the token counts of one completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of a completion. Streamed chunks of chat requests set
// Delta, complete chat responses Message, and plain completions Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a complete response or one chunk of a streamed response.
type Completion struct {
	// ID is the request ID from HeaderRequestID.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Position is the index of the first token in this chunk, from 0.
	Position *int `json:"position,omitempty"`
	// Tokens is the number of tokens in this chunk.
	Tokens int `json:"tokens,omitempty"`
}

// KVBlocks is the body of the KV cache export and import routes.
type KVBlocks struct {
	Model  string   `json:"model"`
	Blocks []uint64 `json:"blocks"`
	// Source is the base URL of the exporting engine, for imports.
	Source string `json:"source,omitempty"`
}
