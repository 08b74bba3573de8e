package outbound

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

func (f *fixture) addToRoster(m membership.Member, ended time.Time) {
	f.roster = append(f.roster, presence.Incarnation{
		Record: presence.Record{ID: m.ID, Incarnation: m.Incarnation, ControlAddress: m.ControlAddress, CallAddress: m.CallAddress},
		Ended:  ended,
	})
}

// Guards against running a resend although a node could have run an earlier attempt, and against a "not-run"
// although an earlier attempt may have run.
func TestResend(t *testing.T) {
	stored := &execution.Response{Status: 201, Header: http.Header{callctx.HeaderOutcome: {"answered"}}, Body: []byte("kept")}
	refusal := &execution.Response{Status: 503, Header: http.Header{callctx.HeaderOutcome: {"not-run"}, callctx.HeaderReason: {"draining"}}}
	fenced := execution.LookupResult{State: execution.Fencing}
	for _, test := range []struct {
		name              string
		results           []execution.LookupResult // of the nodes in the membership table
		rosterOnly        *execution.LookupResult  // of a node that is only in the roster
		endedOffset       time.Duration            // end of a node in the roster, relative to the id's creation time; 0 means none
		rosterUnavailable bool
		recentID          bool // the id is too recent for the roster
		outcome           callctx.Outcome
		reason            callctx.Reason
		result            string
	}{
		{name: "all fenced", results: []execution.LookupResult{fenced, fenced}, outcome: callctx.Answered, result: "run"},
		{name: "stored response", results: []execution.LookupResult{fenced, {State: execution.Done, Response: stored}}, outcome: callctx.Answered, result: "done"},
		{name: "stored refusal", results: []execution.LookupResult{{State: execution.Done, Response: refusal}}, outcome: callctx.NotRun, reason: callctx.Draining, result: "done"},
		{name: "response not stored", results: []execution.LookupResult{{State: execution.Done}}, outcome: callctx.Unknown, reason: callctx.AlreadyDone, result: "done_not_kept"},
		{name: "running", results: []execution.LookupResult{fenced, {State: execution.Running}}, outcome: callctx.Unknown, reason: callctx.AlreadyRunning, result: "running"},
		{name: "superseded", results: []execution.LookupResult{fenced, {State: execution.Superseded}}, outcome: callctx.Unknown, reason: callctx.Superseded, result: "superseded"},
		{name: "unconfirmed", results: []execution.LookupResult{fenced, {State: execution.Unconfirmed}}, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "unconfirmed"},
		{name: "node unreachable", results: []execution.LookupResult{fenced, {}}, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "unreachable"},
		{name: "node unreachable, but done on another node", results: []execution.LookupResult{fenced, {}}, rosterOnly: &execution.LookupResult{State: execution.Done, Response: stored}, outcome: callctx.Answered, result: "done"},
		{name: "fenced by a node that is only in the roster", results: []execution.LookupResult{fenced}, rosterOnly: &fenced, outcome: callctx.Answered, result: "run"},
		{name: "running on a node that is only in the roster", results: []execution.LookupResult{fenced}, rosterOnly: &execution.LookupResult{State: execution.Running}, outcome: callctx.Unknown, reason: callctx.AlreadyRunning, result: "running"},
		{name: "roster unavailable", results: []execution.LookupResult{fenced}, rosterUnavailable: true, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "no_roster"},
		{name: "node ended before the id was created", results: []execution.LookupResult{fenced}, endedOffset: -5 * time.Second, outcome: callctx.Answered, result: "run"},
		{name: "node ended before the id was created, but within maxIDLead", results: []execution.LookupResult{fenced}, endedOffset: -3 * time.Second, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "knowledge_lost"},
		{name: "node ended shortly before the id was created", results: []execution.LookupResult{fenced}, endedOffset: -time.Second, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "knowledge_lost"},
		{name: "id too recent for the roster", results: []execution.LookupResult{fenced}, recentID: true, outcome: callctx.Unknown, reason: callctx.Unresolved, result: "too_early"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			id := newIDAndAdvanceClock(f)
			createdAt, _ := callctx.IDTime(id)
			var nodes []*scriptedNode
			for _, result := range test.results {
				n := f.add(respond)
				nodes = append(nodes, n)
				f.addToRoster(n.member, time.Time{})
				if result.State != "" {
					f.lookups[n.member.ControlAddress] = result
				}
			}
			if test.rosterOnly != nil {
				extra := f.member(9, closedAddress(t))
				f.addToRoster(extra, time.Time{})
				f.lookups[extra.ControlAddress] = *test.rosterOnly
			}
			if test.endedOffset != 0 {
				f.addToRoster(f.member(8, ""), createdAt.Add(test.endedOffset))
			}
			f.rosterReadable = !test.rosterUnavailable
			headers := []string{callctx.HeaderRequestID, id, callctx.HeaderAttempt, "2"}
			if test.recentID {
				f.handler.now = func() time.Time { return createdAt }
				headers = append(headers, callctx.HeaderTimeoutMS, "1000")
			}
			response := f.call(http.MethodPost, "/orders", "x", headers...)
			requireOutcome(t, response, test.outcome, test.reason)
			require.Equal(t, int64(1), f.metrics.Values()[`outbound_resolution{result="`+test.result+`"}`])
			runs := 0
			for _, n := range nodes {
				runs += n.calls()
			}
			require.Equal(t, test.result == "run", runs == 1, "runs: %d", runs)
		})
	}
}

// Guards against running an id without attempt number as attempt 1.
func TestIDWithoutAttemptNumberIsResolved(t *testing.T) {
	f := newFixture(t)
	n := f.add(respond)
	f.lookups[n.member.ControlAddress] = execution.LookupResult{State: execution.Running}
	requireOutcome(t, f.call(http.MethodPost, "/orders", "x", callctx.HeaderRequestID, newIDAndAdvanceClock(f)), callctx.Unknown, callctx.AlreadyRunning)
	require.Zero(t, n.calls())
}

// Guards against an unrecorded "not-run" for a resend: another resend could still run the call.
func TestResendNotRunOnlyWhenRecorded(t *testing.T) {
	f := newFixture(t)
	dead := f.member(0, closedAddress(t))
	f.members = append(f.members, dead)
	f.lookups[dead.ControlAddress] = execution.LookupResult{State: execution.Fencing}
	requireOutcome(t, f.call(http.MethodPost, "/orders", "x", callctx.HeaderRequestID, newIDAndAdvanceClock(f), callctx.HeaderAttempt, "2"), callctx.Unknown, callctx.Unresolved)

	f = newFixture(t)
	first, second := f.add(refuse(callctx.NotRun, callctx.Overloaded)), f.add(refuse(callctx.NotRun, callctx.Overloaded))
	for _, n := range []*scriptedNode{first, second} {
		f.lookups[n.member.ControlAddress] = execution.LookupResult{State: execution.Fencing}
	}
	requireOutcome(t, f.call(http.MethodPost, "/orders", "x", callctx.HeaderRequestID, newIDAndAdvanceClock(f), callctx.HeaderAttempt, "2"), callctx.NotRun, callctx.Overloaded)
	require.Equal(t, 1, first.calls()+second.calls(), "a recorded refusal is final")
}

func TestResolutionLimit(t *testing.T) {
	f := newFixture(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f.handler.resolutionSlots = make(chan struct{}, 1)
	f.add(respond)
	f.handler.lookup = func(context.Context, string, inbound.LookupParams) (execution.LookupResult, error) {
		close(entered)
		<-release
		return execution.LookupResult{State: execution.Running}, nil
	}
	id := newIDAndAdvanceClock(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, _ := http.NewRequest(http.MethodPost, "/orders", nil)
		r.Header.Set(callctx.HeaderRequestID, id)
		f.handler.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	}()
	<-entered
	r, _ := http.NewRequest(http.MethodPost, "/orders", nil)
	r.Header.Set(callctx.HeaderRequestID, id)
	w := &discardWriter{header: http.Header{}}
	f.handler.ServeHTTP(w, r)
	require.Equal(t, http.StatusTooEarly, w.status)
	require.NotEmpty(t, w.header.Get("Retry-After"))
	close(release)
	<-done
}

type discardWriter struct {
	header http.Header
	status int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(status int)      { d.status = status }
