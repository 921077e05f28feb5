package table

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxListLen bounds the items of each list in a row and the bytes of an
	// idempotency rule, which bounds the size of a record.
	maxListLen = 256
	// maxServers bounds a server limit, to catch typing errors.
	maxServers = 100_000
	// maxQuantity bounds rates and counts, so that sums over all customers stay
	// exact.
	maxQuantity = 1 << 40
)

// maxNameLen bounds the length of a name in bytes.
const maxNameLen = 63

var rulePattern = regexp.MustCompile(`^[A-Z]{1,16}( /[!-~]*)?$`)

// reportFunc is called for each problem with the path of the member at fault.
type reportFunc func(path, format string, args ...any)

// rowPath is the position of a row in the table file. The text of the path is built
// only when a problem is reported, because each applied edit validates all rows.
type rowPath struct {
	list  string
	index int
}

func (p rowPath) field(name string) string {
	return fmt.Sprintf("%s[%d].%s", p.list, p.index, name)
}

func (p rowPath) item(name string, index int) string {
	return fmt.Sprintf("%s[%d].%s[%d]", p.list, p.index, name, index)
}

// ErrInvalid reports a table that breaks the rules, or an edit with such a result.
var ErrInvalid = eris.New("invalid table")

// ErrLockout reports an edit that would leave no customer with a key.
var ErrLockout = eris.New("edit leaves no customer with a key")

// Validate checks all rows and their references. It fails with ErrInvalid, and
// the message gives the first problem.
func (t *Table) Validate() error {
	var first error
	t.validate(func(path, format string, args ...any) {
		if first == nil {
			first = eris.Wrapf(ErrInvalid, "%s: %s", path, fmt.Sprintf(format, args...))
		}
	})
	return first
}

func (t *Table) validate(report reportFunc) {
	v := validator{report: report}
	models := v.names("models", "name", rowNames(t.Models))
	services := v.names("services", "name", rowNames(t.Services))
	v.names("customers", "name", rowNames(t.Customers))
	v.names("limits", "failure_domain", rowNames(t.Limits))
	for i := range t.Customers {
		at := rowPath{"customers", i}
		v.customer(at, &t.Customers[i])
		v.references(at, "models", t.Customers[i].Models, models)
		v.references(at, "services", t.Customers[i].Services, services)
	}
	for i := range t.Models {
		v.model(rowPath{"models", i}, &t.Models[i])
	}
	for i := range t.Services {
		v.service(rowPath{"services", i}, &t.Services[i])
	}
	for i := range t.Limits {
		v.limit(rowPath{"limits", i}, &t.Limits[i])
	}
	v.uniqueKeys(t.Customers)
}

func rowNames[R row](rows []R) []string {
	names := make([]string, len(rows))
	for i := range rows {
		names[i] = rows[i].id().Name
	}
	return names
}

type validator struct {
	report reportFunc
}

// names checks that the names of the rows of one kind are valid and unique, and
// returns them as a set.
func (v validator) names(kind, field string, names []string) map[string]bool {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		at := rowPath{kind, i}
		switch {
		case name == "":
			v.report(at.field(field), "is required")
		case !validName(name):
			v.report(at.field(field), "%q must consist of up to 63 letters, digits and . _ : -", name)
		case seen[name]:
			v.report(at.field(field), "%q is the name of an earlier row", name)
		}
		seen[name] = true
	}
	return seen
}

// validName reports whether a name is well-formed. It runs for every row whenever
// an edit is applied, so it uses no regular expression.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLen || strings.IndexByte("._:-", name[0]) >= 0 {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte("._:-", c) < 0 {
			return false
		}
	}
	return true
}

func (v validator) customer(at rowPath, c *Customer) {
	v.positive(at, "weight", c.Weight)
	v.positive(at, "requests_per_second", c.RequestsPerSecond)
	v.inRange(at, "burst", int64(c.Burst), 1, maxQuantity)
	v.inRange(at, "concurrency", int64(c.Concurrency), 1, maxQuantity)
	v.inRange(at, "tokens_per_minute", c.TokensPerMinute, 1, maxQuantity)
	v.listLength(at, "keys", len(c.Keys))
	v.listLength(at, "models", len(c.Models))
	v.listLength(at, "services", len(c.Services))
}

func (v validator) model(at rowPath, m *Model) {
	if !validName(m.Version) {
		v.report(at.field("version"), "%q must consist of up to 63 letters, digits and . _ : -", m.Version)
	}
	v.inRange(at, "weight_bytes", m.WeightBytes, 1, math.MaxInt64)
	v.listLength(at, "adapters", len(m.Adapters))
	for i, name := range m.Adapters {
		if !validName(name) {
			v.report(at.item("adapters", i), "%q is not a name", name)
		}
	}
}

func (v validator) service(at rowPath, s *Service) {
	if len(s.Backends) == 0 {
		v.report(at.field("backends"), "needs at least one service name of the server list")
	}
	v.listLength(at, "backends", len(s.Backends))
	for i, name := range s.Backends {
		if !validName(name) {
			v.report(at.item("backends", i), "%q is not a name", name)
		}
	}
	v.listLength(at, "methods_idempotent", len(s.MethodsIdempotent))
	for i, rule := range s.MethodsIdempotent {
		if !rulePattern.MatchString(rule) || len(rule) > maxListLen {
			v.report(at.item("methods_idempotent", i), `%q is neither a method such as "GET" nor a method and a path such as "POST /lookup"`, rule)
		}
	}
}

func (v validator) limit(at rowPath, l *Limit) {
	v.inRange(at, "on_demand_max", int64(l.OnDemandMax), 0, maxServers)
	v.inRange(at, "cheap_max", int64(l.CheapMax), 0, maxServers)
}

func (v validator) references(at rowPath, list string, names []string, known map[string]bool) {
	for i, name := range names {
		if !known[name] {
			v.report(at.item(list, i), "%q has no row", name)
		}
	}
}

// uniqueKeys checks that each key belongs to exactly one customer.
func (v validator) uniqueKeys(customers []Customer) {
	owners := make(map[KeyHash]string, len(customers))
	for i, c := range customers {
		for j, key := range c.Keys {
			if key == (KeyHash{}) {
				continue // The decoder has already reported this key.
			}
			if owner, taken := owners[key]; taken {
				v.report(rowPath{"customers", i}.item("keys", j), "the key already belongs to customer %q", owner)
			}
			owners[key] = c.Name
		}
	}
}

func (v validator) positive(at rowPath, field string, value float64) {
	if !(value > 0 && value <= maxQuantity) {
		v.report(at.field(field), "must be a positive number")
	}
}

func (v validator) inRange(at rowPath, field string, value, least, most int64) {
	if value < least || value > most {
		v.report(at.field(field), "must be from %d to %d", least, most)
	}
}

func (v validator) listLength(at rowPath, field string, length int) {
	if length > maxListLen {
		v.report(at.field(field), "%d items exceed the limit of %d", length, maxListLen)
	}
}
