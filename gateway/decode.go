package gateway

import (
	"net/http"
	"strings"

	"github.com/mimosakeel/mimosakeel/backend"
)

// modelCall is the state of a request for a model.
type modelCall struct {
	path string
	chat bool
	// stream is set if the client requested server-sent events.
	stream       bool
	body         *modelBody
	prefixHashes []uint64
	promptTokens int

	grant    Grant
	hasGrant bool
	move     *move
	// attemptStart is the position at which the current attempt started.
	attemptStart int
	attempt      int
	source       *backend.Stream
	validator    frameValidator
	sink         sink
}

// serviceCall is the state of a call of a plain service.
type serviceCall struct {
	route      *Service
	idempotent bool
	path       string
	body       []byte
	server     ServiceBackend
	picked     bool
	response   *backend.ServiceResponse
	// bufferedBody holds a small response that was read completely.
	bufferedBody []byte
	isBuffered   bool
}

func decodeModelRequest(q *request) *Error {
	if err := identify(q); err != nil {
		return err
	}
	if err := q.parseOptions(); err != nil {
		return err
	}
	if err := checkJSONContentType(q.r.Header); err != nil {
		return err
	}
	data, err := q.readBody()
	if err != nil {
		return err
	}
	chat := q.r.URL.Path == pathChat
	body, err := decodeModelBody(data, chat)
	if err != nil {
		return err
	}
	if err := q.mayUseModel(body.Model); err != nil {
		return err
	}
	q.model = &modelCall{
		path:         q.r.URL.Path,
		chat:         chat,
		stream:       body.Stream,
		body:         body,
		prefixHashes: backend.PrefixBlocks(body.Model, body.Prompt),
		promptTokens: backend.EstimateTokens(len(body.Prompt)),
		validator:    frameValidator{choices: body.Choices},
	}
	// Upstream also contains the prompt; long streams should not keep it in
	// memory twice.
	body.Prompt = ""
	q.usage = UsageEntry{Customer: q.customer.Name, Resource: body.Model}
	q.hashForClaim(data)
	return nil
}

// mayUseModel returns the same error for a model that does not exist and for
// one that the customer may not use.
func (q *request) mayUseModel(name string) *Error {
	if q.customer.AllowsModel(name) && q.g.Directory.HasModel(name) {
		return nil
	}
	return &Error{Status: http.StatusNotFound, Type: TypeNotFound, Code: "model_not_found", Param: "model",
		Message: "the model does not exist or is not available to this key", Run: RunNever}
}

func decodeServiceRequest(q *request) *Error {
	name, path, err := splitServicePath(q.r.URL.EscapedPath())
	if err != nil {
		return err
	}
	route := q.g.Directory.Service(name)
	if route == nil || !route.Open {
		if err := identify(q); err != nil {
			return err
		}
		if route == nil || !q.customer.AllowsService(name) {
			return unknownService()
		}
	}
	if err := q.parseOptions(); err != nil {
		return err
	}
	body, err := q.readBody()
	if err != nil {
		return err
	}
	idempotent := route.Idempotent(q.r.Method, "/"+strings.TrimPrefix(path, "/"))
	q.service = &serviceCall{route: route, idempotent: idempotent, path: path, body: body}
	q.usage = UsageEntry{Customer: q.customerName(), Resource: name}
	q.hashForClaim(body)
	return nil
}

func unknownService() *Error {
	return &Error{Status: http.StatusNotFound, Type: TypeNotFound, Code: "service_not_found",
		Message: "the service does not exist or is not available to this key", Run: RunNever}
}

// splitServicePath splits the escaped path into the service's name and the path
// below it. It refuses dot segments, because a backend would resolve them to a
// path outside its base URL.
func splitServicePath(escaped string) (name, path string, err *Error) {
	rest := strings.TrimPrefix(escaped, servicePrefix)
	name, path, _ = strings.Cut(rest, "/")
	for segment := range strings.SplitSeq(strings.ToLower(path), "/") {
		plain := strings.ReplaceAll(segment, "%2e", ".")
		if plain == "." || plain == ".." {
			return "", "", invalidRequest(http.StatusBadRequest, "invalid_path", "", "the path has dot segments")
		}
	}
	if name == "" {
		return "", "", unknownService()
	}
	return name, "/" + path, nil
}

func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	if err := g.admit(); err != nil {
		err.write(w)
		return
	}
	defer g.outstanding.Add(-1)
	g.run(w, r, []filter{identify, listModels})
}
