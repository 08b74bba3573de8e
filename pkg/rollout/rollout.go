// Package rollout moves the requests of a service to another version of its backend servers, on an operator's order.
//
// One node, the decider, polls the nodes beside the service's backend servers. Each reports how many requests its backend server got and
// how they ended, and receives a permit. A node enforces its permit itself (see Gate), so a lost message or an old view of the fleet
// cannot expose more requests to the new version than the decider granted.
//
// A roll-out starts as a canary: a few instances of the new version get a share of the requests that stays below the exposure limit,
// while their responses are compared with those of the base version. Shortly before the end of the ordered duration, the requests move to
// the new version if it was found to be as good; otherwise it is rolled back. See docs/design/rollouts.md.
package rollout

import (
	"fmt"
	"time"
)

// Order is an operator's order to move the requests of a service to instances of another version.
type Order struct {
	Service  string        `json:"service"`
	Target   string        `json:"target"`   // version
	Duration time.Duration `json:"duration"` // from the order until the roll-out has to be completed or rolled back
	Position int64         `json:"position"` // of the order in the operators' log; a later order replaces an earlier one of the service
}

// IsSame reports whether the operators ask for the same. An order may be written again, at another position, without being a new one.
func (o *Order) IsSame(other *Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// IsWithdrawal reports whether the order only withdraws an earlier one of the service.
func (o *Order) IsWithdrawal() bool { return o.Target == "" && o.Duration == 0 }

// Validate returns an error that names the invalid field.
func (o *Order) Validate() error {
	switch {
	case o.Service == "":
		return fmt.Errorf("the order names no service")
	case o.Target == "":
		return fmt.Errorf("the order for service %.40q names no target version", o.Service)
	case o.Duration <= 0:
		return fmt.Errorf("the duration of the order for service %.40q is not positive", o.Service)
	}
	return nil
}

// Phase is the phase of a roll-out.
type Phase string

// Phases. Canary precedes Moving and Completed; RolledBack may follow Canary and Moving. Completed and RolledBack are final.
const (
	Canary     Phase = "canary"
	Moving     Phase = "moving"      // the requests move from the base versions to the target
	Completed  Phase = "completed"   // no base version has a request or will get one
	RolledBack Phase = "rolled_back" // the target gets no request
)

// IsFinal reports whether the phase is the last one of a roll-out.
func (p Phase) IsFinal() bool { return p == Completed || p == RolledBack }

// mayFollow reports whether a roll-out may change from the phase before to p.
func (p Phase) mayFollow(before Phase) bool {
	switch before {
	case Canary:
		return p == Moving || p == RolledBack
	case Moving:
		return p.IsFinal()
	}
	return false
}

// State is the state of a roll-out that the fleet has agreed on.
type State struct {
	Order     Order  `json:"order"`
	Phase     Phase  `json:"phase"`
	Cause     string `json:"cause"`
	Decider   string `json:"decider"`           // ID of the deciding node
	StartedMS int64  `json:"started_ms"`        // Unix ms, when the first decider read the order
	NoBase    bool   `json:"no_base,omitempty"` // in phase Moving: no other version was in use, so that a roll-back would leave no instance
	Epoch     int64  `json:"-"`                 // position of this record; a node follows no decider with a lower one than it has seen
}

// Mode says which requests the instances of a version may get.
type Mode string

// Modes of a permit.
const (
	Closed  Mode = "closed"  // none
	Limited Mode = "limited" // up to Permit.Limit
	Open    Mode = "open"    // all
)

// Permit is what a decider allows the node beside one backend server.
type Permit struct {
	State  State         `json:"state"`
	Epoch  int64         `json:"epoch"`
	Target Mode          `json:"target"`          // for an instance of the target version; "": an inquiry, see IsInquiry
	Base   Mode          `json:"base"`            // for an instance of any other version: Closed or Open
	Limit  int64         `json:"limit,omitempty"` // requests that the process may forward to the target version in all, if Target is Limited
	Lease  time.Duration `json:"lease,omitempty"` // after which Target becomes Closed; 0: never, so that requests that move have an instance
}

// IsInquiry reports whether the node should only report, as if there were no roll-out.
func (p *Permit) IsInquiry() bool { return p.Target == "" }

func inquiry(s State) Permit { return Permit{State: s, Epoch: s.Epoch} }

// timeBuckets is the number of buckets of a histogram of response times. Bucket i holds times below firstBucket*bucketGrowth^i.
const (
	timeBuckets  = 24
	firstBucket  = time.Millisecond
	bucketGrowth = 1.5
)

// Counts describes the responses of one version to the calls of a class.
type Counts struct {
	Answered int64              `json:"answered"` // including failures
	Failed   int64              `json:"failed"`   // with an error of the backend server, or without a usable response
	Times    [timeBuckets]int64 `json:"times"`    // number of successes by response time
}

func (c *Counts) add(other *Counts) {
	c.Answered += other.Answered
	c.Failed += other.Failed
	for i := range c.Times {
		c.Times[i] += other.Times[i]
	}
}

// observe counts one response.
func (c *Counts) observe(failed bool, took time.Duration) {
	c.Answered++
	if failed {
		c.Failed++
		return
	}
	c.Times[bucketOf(took)]++
}

func bucketOf(took time.Duration) int {
	limit := float64(firstBucket)
	for i := range timeBuckets - 1 {
		if float64(took) < limit {
			return i
		}
		limit *= bucketGrowth
	}
	return timeBuckets - 1
}

// VersionReport is what a process counted about the instances of one version.
type VersionReport struct {
	Forwarded int64              `json:"forwarded"` // requests sent to the backend server
	InFlight  int64              `json:"in_flight"`
	Classes   map[string]*Counts `json:"classes"` // without those during a cold start
}

// Report is the answer of a node to a permit.
type Report struct {
	Process  int64                     `json:"process"`         // start of the process that counted; counts of another process start anew
	Version  string                    `json:"version"`         // of the backend server; "": none is announced
	InUse    bool                      `json:"in_use"`          // the version gets requests without a limit
	Epoch    int64                     `json:"epoch"`           // of the permit that the node follows; higher than the decider's if it was replaced
	Target   Mode                      `json:"target"`          // that the node enforces
	Base     Mode                      `json:"base"`            // likewise
	Limit    int64                     `json:"limit"`           // highest limit that was permitted
	Ended    Phase                     `json:"ended,omitempty"` // last phase, if the node knows that the roll-out has ended
	Versions map[string]*VersionReport `json:"versions"`
}
