package admission

import "sync"

// OriginTracker tells which classes of calls are made by backend servers on behalf of work that they already run.
//
// Nothing in a request says so. But clients live on every machine, while the calls that a backend server makes come from the
// machines of its own service only: a class whose calls all come from one service is taken for such. Where the clients of a class
// really live beside one service only, their calls gain precedence over others of the same backend servers, no more. Calls to the
// service beside whose backend servers they begin are never taken for such: in a data centre where only that one has machines, all
// calls of clients are.
//
// It is safe for concurrent use.
type OriginTracker struct {
	mu      sync.Mutex
	classes map[string]*origin
}

// origin counts the calls of one class by the service that they come from.
type origin struct {
	counts map[string]int
	total  int
}

const (
	originSamples = 30   // needed to judge a class
	originMemory  = 400  // after so many, all counts are halved, so that a change shows
	innerShare    = 0.98 // of the calls of a class that come from one service
)

// NewOriginTracker returns an empty record.
func NewOriginTracker() *OriginTracker { return &OriginTracker{classes: make(map[string]*origin)} }

// Observe notes a call from a machine of one service to another, and reports whether its class is made on behalf of admitted work.
func (o *OriginTracker) Observe(class, from, to string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.classes[class]
	if c == nil {
		if len(o.classes) >= maxClasses {
			clear(o.classes)
		}
		c = &origin{counts: make(map[string]int)}
		o.classes[class] = c
	}
	c.counts[from]++
	c.total++
	if c.total >= originMemory {
		c.halve()
	}
	return from != to && c.total >= originSamples && float64(c.most()) >= innerShare*float64(c.total)
}

func (c *origin) halve() {
	c.total = 0
	for service, n := range c.counts {
		if n /= 2; n == 0 {
			delete(c.counts, service)
			continue
		}
		c.counts[service] = n
		c.total += n
	}
}

func (c *origin) most() int {
	most := 0
	for _, n := range c.counts {
		most = max(most, n)
	}
	return most
}
