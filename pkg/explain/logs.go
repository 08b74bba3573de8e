package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one parsed line of a node's log.
type Line struct {
	Time   time.Time
	Event  string
	Fields map[string]string // all pairs, "time" and "event" included
	Text   string            // the line from "time=" on
}

// stateChangeEvents are the log events that change the state on which a node bases its decisions.
var stateChangeEvents = []string{
	"backend_changed", "backend_leaves", "configuration_activated", "configuration_rejected", "store_lost", "store_reached",
	"node_started", "node_stopping", "member_suspected", "member_declared_dead", "member_refuted", "backend_limit", "backend_crashed", "request_blocked",
}

// changeWindow bounds the time between a state change and a decision that it is reported for.
const changeWindow = 3 * time.Second

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// FromLogs returns the decisions about a request id in the logs of any number of nodes, and the state changes of the nodes involved
// in the 3 s before each decision, ordered by time. Lines that cannot be parsed are skipped.
func FromLogs(id string, logs ...io.Reader) ([]Line, error) {
	var decisions, changes []Line
	err := forEachLine(logs, func(line Line) {
		switch {
		case line.Fields["id"] == id, slices.Contains(splitList(line.Fields["ids"]), id):
			decisions = append(decisions, line)
		case slices.Contains(stateChangeEvents, line.Event):
			changes = append(changes, line)
		}
	})
	if err != nil {
		return nil, err
	}
	chain := slices.Clone(decisions)
	for _, change := range changes {
		if slices.ContainsFunc(decisions, func(d Line) bool { return d.mayFollowFrom(change) }) {
			chain = append(chain, change)
		}
	}
	slices.SortStableFunc(chain, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return chain, nil
}

// forEachLine calls visit with each line that can be parsed, one log after the other.
func forEachLine(logs []io.Reader, visit func(Line)) error {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			if line, ok := ParseLine(scanner.Text()); ok {
				visit(line)
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// mayFollowFrom reports whether the change may have led to the decision: it concerns the deciding node or the node that the call was
// sent to, and precedes the decision by at most changeWindow.
func (l Line) mayFollowFrom(change Line) bool {
	related := change.Fields["node"] == l.Fields["node"] && change.Fields["node"] != "" || change.Fields["member"] != "" && change.Fields["member"] == l.Fields["to"]
	age := l.Time.Sub(change.Time)
	return related && age >= 0 && age <= changeWindow
}

// ParseLine parses key=value pairs; values with spaces are quoted. It reports false for a line without a valid time and an event. Text
// before "time=" is skipped, because some log collectors add a prefix. If a key occurs more than once, the first value counts.
func ParseLine(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string), Text: text[start:]}
	for rest := line.Text; rest != ""; {
		key, value, remaining, ok := nextPair(rest)
		if !ok {
			break
		}
		if _, repeated := line.Fields[key]; !repeated {
			line.Fields[key] = value
		}
		rest = remaining
	}
	at, err := time.Parse(time.RFC3339, line.Fields["time"])
	line.Time, line.Event = at, line.Fields["event"]
	return line, err == nil && line.Event != ""
}

// nextPair splits the first key=value pair off the text.
func nextPair(text string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ = strings.Cut(rest, " ")
		return key, value, rest, true
	}
	var unquoted strings.Builder
	for i := 1; i < len(rest); i++ {
		switch {
		case rest[i] == '\\' && i+1 < len(rest):
			i++
			unquoted.WriteByte(rest[i])
		case rest[i] == '"':
			return key, unquoted.String(), rest[i+1:], true
		default:
			unquoted.WriteByte(rest[i])
		}
	}
	return key, unquoted.String(), "", true
}
