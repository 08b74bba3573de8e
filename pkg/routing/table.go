package routing

import (
	"net"
	"strings"
)

// Table looks up the route of a call. It is safe for concurrent use.
type Table struct {
	Document *Document

	hosts    map[string]map[string]*Entry // by lower-case host and prefix
	services map[string]*Service
	teams    map[rawDigest]*Team // by key
}

// Entry is a route with the state of its weighted split.
type Entry struct {
	*Route

	split *weightedSplit // nil for a single destination
}

// Compile validates a document and builds its table. The table shares the routes and services of the document, which must not be modified
// afterwards. An error is an apierror.List with all errors of the document.
func Compile(d *Document) (*Table, error) {
	if errs := d.validate(); len(errs) > 0 {
		return nil, errs
	}
	compiled := *d
	compiled.routesDigest, compiled.teamsDigest, compiled.hasDigest = d.digest(), d.callersDigest(), true
	t := &Table{Document: &compiled, hosts: make(map[string]map[string]*Entry), services: make(map[string]*Service, len(d.Services)), teams: indexTeams(d.Teams)}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Entry)
		}
		t.hosts[host][r.PathPrefix] = newEntry(r)
	}
	return t, nil
}

func newEntry(r *Route) *Entry {
	e := &Entry{Route: r}
	if len(r.Destinations) > 1 {
		e.split = newWeightedSplit(r.Destinations)
	}
	return e
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of the path, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Entry {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if e := prefixes[path[:end+1]]; e != nil {
			return e
		}
	}
	return nil
}

func hostName(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// Destination returns the service for the next call of the route. The shares of the destinations are exact over any sequence of calls
// whose length is the sum of the weights.
func (e *Entry) Destination() string {
	if e.split == nil {
		return e.Destinations[0].Service
	}
	return e.Destinations[e.split.next()].Service
}
