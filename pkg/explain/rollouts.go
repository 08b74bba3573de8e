package explain

import (
	"io"
	"slices"
	"time"
)

// RolloutStep is one change of a roll-out of a service's version, from the logs of the nodes that decided.
type RolloutStep struct {
	Time    time.Time
	Node    string // that decided
	Service string
	Target  string // version
	Phase   string // "canary", "moving", "completed" or "rolled_back"; RolloutWithdrawn or RolloutRefused for an order
	Cause   string
	// Comparison of the versions and exposure, as logged with the decision; empty if a phase needed none.
	Comparison, Answered, Bad, BaseRate, Granted string
}

// Pseudo-phases of RolloutStep that show what became of an order.
const (
	RolloutWithdrawn = "order withdrawn"
	RolloutRefused   = "order refused"
)

// FindRollouts returns the steps of the roll-outs in the logs of any number of nodes, ordered by time. An empty service stands for all of
// them. Lines that cannot be parsed are skipped.
func FindRollouts(service string, logs ...io.Reader) ([]RolloutStep, error) {
	var lines []Line
	err := forEachLine(logs, func(line Line) {
		if service == "" || line.Fields["service"] == service {
			lines = append(lines, line)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	type decisionKey struct{ node, service, target, phase string }
	decisions := make(map[decisionKey]Line)
	var steps []RolloutStep
	for _, l := range lines {
		f := l.Fields
		step := RolloutStep{Time: l.Time, Node: f["node"], Service: f["service"], Target: f["target"], Phase: f["phase"], Cause: f["cause"]}
		key := decisionKey{step.Node, step.Service, step.Target, step.Phase}
		switch l.Event {
		case "rollout_decision":
			decisions[key] = l
			continue
		case "rollout_agreed":
			d := decisions[key].Fields
			step.Comparison, step.Answered, step.Bad, step.BaseRate, step.Granted = d["comparison"], d["answered"], d["bad"], d["base_rate"], d["exposure_granted"]
		case "rollout_withdrawn":
			step.Phase = RolloutWithdrawn
		case "rollout_order_not_valid":
			step.Phase, step.Cause = RolloutRefused, f["error"]
		default:
			continue
		}
		steps = append(steps, step)
	}
	return steps, nil
}
