// Package catalog holds one version of the operators' configuration (routes,
// services and customers) in an immutable form for the request path.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStreaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStreaming
)

// String returns the kind as logged.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "non_idempotent"
	case KindStreaming:
		return "streaming"
	}
	return "unknown"
}

// Share is the fraction of a route's requests that a service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from a request to its complete answer.
	Timeout time.Duration
	// Objective is the latency target: the time within which an answer, or the
	// first event of a stream, has its full value.
	Objective time.Duration
	// MaxGap is the target for the longest pause between two events of a stream; 0
	// if there is none.
	MaxGap time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of backend servers to which one request may be
	// sent.
	MaxAttempts int
	// Anonymous marks a route whose requests need no key.
	Anonymous bool
	// Generation marks a route whose requests describe a prompt.
	Generation bool
	// Resumable marks a route whose streams may continue on another backend server.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens, KVTokenBytes the size of
	// one token in it.
	KVTokens     int
	KVTokenBytes int
	// LinkBytes is the rate at which an engine transfers KV cache, in bytes per
	// second.
	LinkBytes float64
	// HandleTTL is how long an engine keeps the KV cache of a prefilled prompt for
	// transfer.
	HandleTTL time.Duration
	// StageSwitch is how long an engine is unavailable while it changes its stage.
	StageSwitch time.Duration
}

// Scaling bounds the number of backend servers of a service.
type Scaling struct {
	// Min and Max bound the servers per failure domain, on-demand and cheap ones
	// together.
	Min, Max int
	// Boot is the time from an order until the new server accepts requests.
	Boot time.Duration
	// CheapPrice is the price of a cheap server relative to an on-demand one.
	CheapPrice float64
	// DomainPrices is the price of a server per failure domain.
	DomainPrices map[string]float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path at which a server reports whether it is healthy.
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all
	// callers.
	MaxConns int
	// Engine describes the service's engines; nil for plain services.
	Engine *Engine
	// Scaling bounds the servers to order; nil if their number can't be changed.
	Scaling *Scaling
}

// Customer is a customer with its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority is the priority of the customer's requests, 0 being the most urgent;
	// nil if the route's priority applies.
	Priority *int
	Limit    CustomerLimit
	// LimitError is the reason why the limit in the configuration can't be used; nil
	// if it can. Limit is then the zero value.
	LimitError error
}

// CustomerLimit bounds the requests of a customer over all daemons. The zero value
// is no limit.
type CustomerLimit struct {
	// Rate is the number of requests or tokens per second; 0 means no limit. Burst is
	// the number that may arrive at once.
	Rate, Burst float64
	// Tokens is set if the limit is in tokens. A request that doesn't state its tokens
	// then counts as PlainTokens.
	Tokens      bool
	PlainTokens int
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time for reading a request's header,
	// IdleTimeout the longest time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration as decoded.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// Keyed reports whether requests need a key.
	Keyed  bool
	Limits Limits
}

// Catalog provides lookups in one version of the configuration.
type Catalog struct {
	version  int64
	limits   Limits
	keyed    bool
	hosts    map[string][]*Route
	routes   map[string]*Route
	services map[string]*Service
	keys     map[string]*Customer
	// customers holds the customers by name.
	customers map[string]*Customer
}

// New builds a catalog. The configuration must not be changed afterwards.
func New(c Config) *Catalog {
	out := &Catalog{
		version:  c.Version,
		limits:   c.Limits,
		keyed:    c.Keyed,
		hosts:    map[string][]*Route{},
		routes:   map[string]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Customer{},

		customers: map[string]*Customer{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		out.routes[r.Name] = r
		host := strings.ToLower(r.Host)
		out.hosts[host] = append(out.hosts[host], r)
	}
	for _, routes := range out.hosts {
		// Match returns the first match, which must have the longest prefix.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		out.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		out.customers[c.Customers[i].Name] = &c.Customers[i]
		for _, key := range c.Customers[i].Keys {
			out.keys[key] = &c.Customers[i]
		}
	}
	return out
}

// Version returns the version; later configurations have higher ones.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on client requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Keyed reports whether requests need a key, unless their route is anonymous.
func (c *Catalog) Keyed() bool { return c.keyed }

// Match returns the route of the host with the longest prefix that matches the
// path, or nil. host has no port.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns the route with the given name, or nil.
func (c *Catalog) Route(name string) *Route { return c.routes[name] }

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Routes calls visit for every route, in no particular order.
func (c *Catalog) Routes(visit func(*Route)) {
	for _, r := range c.routes {
		visit(r)
	}
}

// Services calls visit for each service.
func (c *Catalog) Services(visit func(*Service)) {
	for _, s := range c.services {
		visit(s)
	}
}

// Customer returns the owner of a key, or nil.
func (c *Catalog) Customer(key string) *Customer { return c.keys[key] }

// CustomerNamed returns the customer with the given name, or nil.
func (c *Catalog) CustomerNamed(name string) *Customer { return c.customers[name] }
