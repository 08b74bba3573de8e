// Package experiment plays load patterns on the decisions of the nodes, in simulated time and without a network.
//
// Many nodes with their backend servers are simulated in one process. The decisions are those of the product: admission.Scheduler decides
// who gets a slot, placement.Chooser where a call goes, retry.Budget and retry.Attempts whether it is sent again, callerretry.Tracker which
// callers return, admission.OriginTracker which calls are nested. What is around them is simple: backend servers whose work takes random
// times, paths with fixed latency, callers that return after a refusal. An experiment compares variants of the decisions on the same load.
//
// It says which of two decisions is better under a pattern, and not how much worth a real deployment gains.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Scenario is a load pattern and the variants to compare on it. Times are in milliseconds unless the name says otherwise.
type Scenario struct {
	Name        string    `json:"name"`
	Pattern     string    `json:"pattern"` // the load in one sentence
	Seconds     float64   `json:"seconds"` // simulated time
	Seeds       int       `json:"seeds"`   // plays of each variant
	DataCentres []string  `json:"data_centres"`
	Network     Network   `json:"network"`
	Retry       Retry     `json:"retry"`
	Demand      Demand    `json:"demand"`
	Services    []Service `json:"services"`
	Classes     []Class   `json:"classes"`
	Teams       []Team    `json:"teams"` // optional
	Events      []Event   `json:"events"`
	Weights     Weights   `json:"weights"`
	Variants    []Variant `json:"variants"`
}

// Network holds the one-way latencies.
type Network struct {
	WithinMS    float64 `json:"within_ms"`     // between nodes of a data centre, processing included
	BetweenMS   float64 `json:"between_ms"`    // between data centres
	ToCallersMS float64 `json:"to_callers_ms"` // between callers and nodes
}

// Demand is how the load moves between the data centres: each one's share of every class follows a sine.
type Demand struct {
	Swing     float64 `json:"swing"`      // amplitude relative to the mean; 0: the load is the same everywhere
	PeriodS   float64 `json:"period_s"`   // length of a cycle
	PhaseStep float64 `json:"phase_step"` // by how much of a cycle each data centre is behind the one before
}

// Retry is the fleet's bound on retries.
type Retry struct {
	Ratio   float64 `json:"ratio"`
	Slack   float64 `json:"slack"`
	WindowS float64 `json:"window_s"`
}

// Service is a group of backend servers, each with its node. They are spread evenly over the data centres.
type Service struct {
	Name       string    `json:"name"`
	Servers    int       `json:"servers"`
	Slots      int       `json:"slots"`
	Speeds     []float64 `json:"speeds"`      // of the servers in turn, relative to the work of the classes; default 1
	ColdMS     float64   `json:"cold_ms"`     // how long a server is slow after its start
	ColdFactor float64   `json:"cold_factor"` // on the work of a cold server; default 1
}

// Team is a group of callers.
type Team struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the calls of each class, in relation to the shares of the other teams
	Rank  *int    `json:"rank"`  // replaces the ranks of the classes; default: no change
}

// Class is a class of calls.
type Class struct {
	Name        string       `json:"name"`
	Service     string       `json:"service"`
	PerSecond   float64      `json:"per_second"` // by callers of all data centres together; 0 for a class that only backend servers call
	Rank        int          `json:"rank"`
	WorkMS      Distribution `json:"work_ms"`
	TargetMS    float64      `json:"target_ms"`
	DeadlineMS  float64      `json:"deadline_ms"` // how long the caller waits
	TimeoutMS   float64      `json:"timeout_ms"`  // how long one attempt may take; default: until the deadline
	Worth       float64      `json:"worth"`       // of a response in time
	LateWorth   float64      `json:"late_worth"`  // of a late one
	Idempotent  bool         `json:"idempotent"`
	MaxAttempts int          `json:"max_attempts"` // backend servers that may receive the call
	Returns     int          `json:"returns"`      // how often a caller returns after a refusal, or after a failure if the call is idempotent
	Bytes       int          `json:"bytes"`        // of the response
	Calls       []NestedCall `json:"calls"`
}

// Distribution is a log-normal distribution with a tail.
type Distribution struct {
	Mean       float64 `json:"mean"`
	Spread     float64 `json:"spread"`      // standard deviation relative to the mean
	Tail       float64 `json:"tail"`        // share of the values that are multiplied by TailFactor
	TailFactor float64 `json:"tail_factor"` // default 1
	Max        float64 `json:"max"`         // 0: none
}

// NestedCall is a call that a backend server makes while it serves another one.
type NestedCall struct {
	Class    string  `json:"class"`
	Share    float64 `json:"share"`    // of the calls of the parent class
	Together bool    `json:"together"` // it is made at the start of the work, otherwise at its end
}

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	Surge     EventKind = "surge"      // the rate of a class, or of a team, is multiplied by Factor
	Returning EventKind = "returning"  // Share of the refused callers return at once and Factor times
	Shed      EventKind = "shed"       // Share of the servers of a service turn away Factor of their calls, free slots or not
	Fail      EventKind = "fail"       // Share of the servers of a service fail Factor of their calls; with DataCentre, only those from there
	Slow      EventKind = "slow"       // work takes Factor times as long on Share of the servers of a service
	Partition EventKind = "partition"  // DataCentre and the others do not reach each other
	Leave     EventKind = "leave"      // Share of the servers of a service drain and end
	Restart   EventKind = "restart"    // Share of all machines, or of a service's, lose power for Seconds
	Limit     EventKind = "limit"      // Share of the servers of a service name a limit of Factor requests a second
	SlowShift EventKind = "slow_shift" // each server of a service is slow by Factor at random times of 0.6 s, Share of the time
)

// Event changes the load or the fleet for a while.
type Event struct {
	Kind       EventKind `json:"kind"`
	AtS        float64   `json:"at_s"`
	Seconds    float64   `json:"seconds"`
	Class      string    `json:"class"`
	Team       string    `json:"team"`
	Service    string    `json:"service"` // empty: all services
	DataCentre string    `json:"data_centre"`
	Share      float64   `json:"share"`
	Factor     float64   `json:"factor"`
}

// Weights are the weights of the parts of the result.
type Weights struct {
	Whole           float64 `json:"whole"`
	WorstWindows    float64 `json:"worst_windows"`
	WorstClass      float64 `json:"worst_class"`
	WorstDataCentre float64 `json:"worst_data_centre"`
	ServedAtAll     float64 `json:"served_at_all"`
}

// Variant changes parameters of the decisions. The zero value is the product as it is.
type Variant struct {
	Name       string                     `json:"name"`
	Admission  map[string]json.RawMessage `json:"admission"`  // fields of admission.Policy
	Placement  map[string]json.RawMessage `json:"placement"`  // fields of placement.Policy
	Shortage   map[string]json.RawMessage `json:"shortage"`   // fields of placement.ShortagePolicy
	Retry      map[string]json.RawMessage `json:"retry"`      // fields of retry.Policy
	Dependency map[string]json.RawMessage `json:"dependency"` // fields of dependency.Policy
	Without    []Mechanism                `json:"without"`
}

// Mechanism is a mechanism around the decisions that a variant can switch off.
type Mechanism string

// Mechanisms that can be switched off.
const (
	NestedFirst       Mechanism = "nested_first"       // calls of backend servers go before others of their rank
	ParentRank        Mechanism = "parent_rank"        // calls of backend servers have the rank of the calls that they run, not one above all
	ReturnsRecognised Mechanism = "returns_recognised" // a caller that returns keeps the target of its first attempt
	DelayCost         Mechanism = "delay_cost"         // nested calls prefer the quickest endpoint while their parent's service is full
	SlownessReports   Mechanism = "slowness_reports"   // backend servers tell how long work takes
	EarlyRejection    Mechanism = "early_rejection"    // a node rejects calls that the endpoints would refuse
	LimitReports      Mechanism = "limit_reports"      // load reports show a limit that the backend server names
	ParentAdmission   Mechanism = "parent_admission"   // calls whose nested calls are refused for lack of room are admitted as far as these are served
)

var mechanisms = []Mechanism{NestedFirst, ParentRank, ReturnsRecognised, DelayCost, SlownessReports, LimitReports, ParentAdmission, EarlyRejection}

// Parse reads and checks a scenario. An error is an apierror.Error, or an apierror.List with all errors of the scenario.
func Parse(data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	if err := s.check().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// decode reads JSON without unknown fields.
func decode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return apierror.New(apierror.Invalid, "the file is not valid: "+err.Error(), "correct it; docs/experiments.md describes the fields")
	}
	return nil
}

// scenarioCheck collects the errors of a scenario.
type scenarioCheck struct{ errs apierror.List }

func (c *scenarioCheck) require(ok bool, field, message, remedy string) {
	if !ok {
		c.errs = append(c.errs, apierror.InvalidField(field, message, remedy))
	}
}

func (c *scenarioCheck) positive(value float64, field string) {
	c.require(value > 0, field, "is not positive", "state a number above 0")
}

func (c *scenarioCheck) fraction(value float64, field string) {
	c.require(value >= 0 && value <= 1, field, "is not a fraction", "state a number from 0 to 1")
}

// maxServers bounds the run time of an experiment.
const maxServers = 2000

func (s *Scenario) check() apierror.List {
	c := &scenarioCheck{}
	c.require(s.Name != "", "name", "is missing", "name the pattern")
	c.positive(s.Seconds, "seconds")
	c.positive(float64(s.Seeds), "seeds")
	c.require(len(s.DataCentres) > 0, "data_centres", "is empty", "name at least one")
	c.require(len(s.Services) > 0, "services", "is empty", "add at least one")
	c.require(len(s.Variants) > 0, "variants", "is empty", "add at least one; one without changes is the product as it is")
	c.positive(s.Retry.WindowS, "retry.window_s")
	c.fraction(s.Demand.Swing, "demand.swing")
	c.require(s.Demand.Swing == 0 || s.Demand.PeriodS > 0, "demand.period_s", "is not positive", "state the length of a cycle")
	servers := 0
	for i, service := range s.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.positive(float64(service.Servers), field+".servers")
		c.positive(float64(service.Slots), field+".slots")
		servers += service.Servers
	}
	c.require(servers <= maxServers, "services", fmt.Sprintf("have more than %d servers", maxServers), "reduce the servers and the rates")
	for i := range s.Classes {
		s.checkClass(c, fmt.Sprintf("classes[%d]", i), &s.Classes[i])
	}
	for i, team := range s.Teams {
		c.positive(team.Share, fmt.Sprintf("teams[%d].share", i))
	}
	for i := range s.Events {
		s.checkEvent(c, fmt.Sprintf("events[%d]", i), &s.Events[i])
	}
	for i := range s.Variants {
		field := fmt.Sprintf("variants[%d]", i)
		if _, err := s.Variants[i].policies(); err != nil {
			c.errs = append(c.errs, apierror.InvalidField(field, err.Error(), "use the fields of the Policy types"))
		}
		for _, m := range s.Variants[i].Without {
			c.require(slices.Contains(mechanisms, m), field+".without", fmt.Sprintf("%q is not known", m), fmt.Sprintf("use one of %q", mechanisms))
		}
	}
	return c.errs
}

func (s *Scenario) checkClass(c *scenarioCheck, field string, class *Class) {
	c.require(s.service(class.Service) != nil, field+".service", fmt.Sprintf("%q is not known", class.Service), "name one of services")
	c.positive(class.WorkMS.Mean, field+".work_ms.mean")
	c.positive(class.TargetMS, field+".target_ms")
	c.require(class.DeadlineMS >= class.TargetMS, field+".deadline_ms", "is before the target", "state at least target_ms")
	c.fraction(class.WorkMS.Tail, field+".work_ms.tail")
	for j, call := range class.Calls {
		nested := s.class(call.Class)
		c.require(nested != nil, fmt.Sprintf("%s.calls[%d].class", field, j), fmt.Sprintf("%q is not known", call.Class), "name one of classes")
		c.require(nested == nil || len(nested.Calls) == 0, fmt.Sprintf("%s.calls[%d].class", field, j), "makes calls itself", "nest one level only")
		c.fraction(call.Share, fmt.Sprintf("%s.calls[%d].share", field, j))
	}
}

func (s *Scenario) checkEvent(c *scenarioCheck, field string, e *Event) {
	c.require(e.Service == "" || s.service(e.Service) != nil, field+".service", fmt.Sprintf("%q is not known", e.Service), "name one of services")
	c.fraction(e.Share, field+".share")
	c.require(e.DataCentre == "" || slices.Contains(s.DataCentres, e.DataCentre), field+".data_centre", fmt.Sprintf("%q is not known", e.DataCentre), "name one of data_centres")
	switch e.Kind {
	case Surge:
		c.require(e.Team != "" || s.class(e.Class) != nil, field+".class", fmt.Sprintf("%q is not known", e.Class), "name one of classes")
		c.require(e.Team == "" || s.team(e.Team) >= 0, field+".team", fmt.Sprintf("%q is not known", e.Team), "name one of teams")
		c.positive(e.Factor, field+".factor")
	case Shed, Fail:
		c.fraction(e.Factor, field+".factor")
	case Slow, SlowShift, Returning, Limit:
		c.positive(e.Factor, field+".factor")
	case Partition:
		c.require(e.DataCentre != "", field+".data_centre", "is missing", "name the data centre to cut off")
	case Leave, Restart:
	default:
		c.require(false, field+".kind", fmt.Sprintf("%q is not known", e.Kind), "use one of the kinds in docs/experiments.md")
	}
}

func (s *Scenario) service(name string) *Service {
	i := slices.IndexFunc(s.Services, func(x Service) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Services[i]
}

// team returns the index of a team, or -1.
func (s *Scenario) team(name string) int {
	return slices.IndexFunc(s.Teams, func(x Team) bool { return x.Name == name })
}

func (s *Scenario) class(name string) *Class {
	i := slices.IndexFunc(s.Classes, func(x Class) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Classes[i]
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
