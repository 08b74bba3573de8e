package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a node's log: key=value pairs.
type Line struct {
	Time   time.Time
	Event  string
	Fields map[string]string // all pairs, "time" and "event" included
	Text   string
}

// believed are the events that change what a node believes, and so what it decides.
var believed = []string{
	"backend_changed", "backend_leaves", "configuration_activated", "configuration_rejected", "store_lost", "store_reached",
	"node_started", "node_stopping", "member_suspected", "member_declared_dead", "member_refuted",
}

// beforeDecision is how far back changes are shown that may have led to a decision.
const beforeDecision = 3 * time.Second

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// FromLogs returns, in order of time, the decisions about a request id in the logs of any number of nodes, and what changed on the
// nodes that took them in the 3 s before. Lines that cannot be read are passed over.
func FromLogs(id string, logs ...io.Reader) ([]Line, error) {
	var decisions, changes []Line
	err := eachLine(logs, func(line Line) {
		switch {
		case line.Fields["id"] == id:
			decisions = append(decisions, line)
		case slices.Contains(believed, line.Event):
			changes = append(changes, line)
		}
	})
	if err != nil {
		return nil, err
	}
	chain := slices.Clone(decisions)
	for _, change := range changes {
		if slices.ContainsFunc(decisions, func(d Line) bool { return d.follows(change) }) {
			chain = append(chain, change)
		}
	}
	slices.SortStableFunc(chain, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return chain, nil
}

// eachLine calls visit with each line of the logs that can be read, one log after the other.
func eachLine(logs []io.Reader, visit func(Line)) error {
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

// follows reports whether a change may have led to the decision: it is about a node that took part, and happened shortly before.
func (l Line) follows(change Line) bool {
	about := change.Fields["node"] == l.Fields["node"] && change.Fields["node"] != "" || change.Fields["member"] != "" && change.Fields["member"] == l.Fields["to"]
	age := l.Time.Sub(change.Time)
	return about && age >= 0 && age <= beforeDecision
}

// ParseLine reads key=value pairs; values with spaces are quoted. It reports false for a line without time and event. What stands
// before the time, as some collectors write, is passed over.
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

// nextPair takes one key=value pair from the beginning of a text.
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
