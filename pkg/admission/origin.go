package admission

import "sync"

// OriginTracker detects classes of nested calls, which a backend server makes while it serves another call.
//
// A request does not say whether it is a nested call. But clients run on every machine, while the calls that a backend server makes come
// only from machines of its own service. A class is therefore classified as nested if nearly all of its calls come from the machines of
// one service. If the clients of a class run beside one service only, they are misclassified; the only effect is that their calls take
// precedence over other calls to the same backend servers. Calls to the service of the machine that they come from are never nested: in
// a data centre where only that service has machines, all client calls come from there.
//
// OriginTracker is safe for concurrent use.
type OriginTracker struct {
	mu      sync.Mutex
	classes map[string]*originCounts
}

// originCounts counts the calls of one class by the service of the machine that they come from.
type originCounts struct {
	counts map[string]int
	total  int
}

const (
	minOriginSamples = 30   // calls needed to classify a class
	originDecayCount = 400  // total at which all counts are halved, so that old calls lose weight
	minNestedShare   = 0.98 // minimum share of the calls of a nested class that come from one service
)

// NewOriginTracker returns an empty tracker.
func NewOriginTracker() *OriginTracker {
	return &OriginTracker{classes: make(map[string]*originCounts)}
}

// Observe counts a call from a machine of service from to service to, and reports whether calls of the class are nested calls.
func (o *OriginTracker) Observe(class, from, to string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.classes[class]
	if c == nil {
		if len(o.classes) >= maxClasses {
			clear(o.classes)
		}
		c = &originCounts{counts: make(map[string]int)}
		o.classes[class] = c
	}
	c.counts[from]++
	c.total++
	if c.total >= originDecayCount {
		c.halve()
	}
	return from != to && c.total >= minOriginSamples && float64(c.maxCount()) >= minNestedShare*float64(c.total)
}

func (c *originCounts) halve() {
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

func (c *originCounts) maxCount() int {
	maximum := 0
	for _, n := range c.counts {
		maximum = max(maximum, n)
	}
	return maximum
}
