package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const mutantSeeds = 6 // seeds to try before a mutant counts as undetected

// mutant is a build of the sidecar without one of its guards.
type mutant struct {
	name     string
	violates []guarantee // at least one violation of these must be detected
	changes  []replacement
	run      runFunc // nil: runSeed
}

var allMutants = []mutant{
	{"retries non-idempotent requests", []guarantee{guaranteeAtMostOnce}, []replacement{
		{"pkg/retry/attempts.go", "case a.answered, a.mayHaveRun && !a.call.Idempotent:", "case a.answered:"},
	}, nil},
	{"reports unknown outcomes as not executed", []guarantee{guaranteeNotExecuted}, []replacement{
		{"pkg/sidecar/outbound.go", "case res.verdict == verdictNotRun:\n\t\treturn http.StatusServiceUnavailable", "case true:\n\t\treturn http.StatusServiceUnavailable"},
	}, nil},
	{"does not compare echoed ids", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/hop/exchange.go", "case echo == r.ID:", `case echo != "-":`},
		{"pkg/hop/exchange.go", "cn.reader.Buffered() == 0 && !cn.unidentified", "true"},
		{"pkg/hop/pool.go", "\tsocket.ReleaseReader(cn.reader)\n\tcn.reader = nil\n", ""},
		{"pkg/hop/pool.go", "\t\t\tcn.reader, cn.reused = socket.AcquireReader(cn.source), true\n", "\t\t\tcn.reused = true\n"},
		{"pkg/hop/pool.go", "usable = errors.Is(err, unix.EAGAIN)", "usable = err == nil || errors.Is(err, unix.EAGAIN)"},
	}, nil},
	{"accepts unsigned responses", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/sidecar/inbound.go", `case response.Header.Get(in.headers.Signature) == "":`, "case false:"},
	}, nil},
	{"completes truncated responses", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/hop/exchange.go", "if _, err = io.ReadFull(response.Body, data); err != nil {\n\t\treturn nil, false, reserved, err", "if n, readErr := io.ReadFull(response.Body, data); readErr != nil {\n\t\treturn data[:n], true, reserved, nil"},
	}, nil},
	{"trusts the caller header of the request", []guarantee{guaranteeRequestIntegrity}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.Caller, c.caller)\n", ""},
	}, nil},
	{"forwards requests to any service", []guarantee{guaranteeConfiguredService}, []replacement{
		{"pkg/sidecar/inbound.go", "case i.Service != c.service:", "case false:"},
		{"pkg/sidecar/node.go", "if view == nil || view.version != version {", "if view == nil || len(view.byService[service]) == 0 {"},
	}, nil},
	{"answers 404 without a configuration", []guarantee{guaranteeRoutable}, []replacement{
		{"pkg/sidecar/outbound.go", "refuse(http.StatusServiceUnavailable, reasonNotReady)", "refuse(http.StatusNotFound, reasonNotReady)"},
	}, nil},
	// Removing the guard alone violates nothing, because no peer offers an older version; so the mutant activates one itself.
	{"returns to older versions", []guarantee{guaranteeMonotonicVersion}, []replacement{
		{"pkg/sidecar/follower.go", "if d.Version <= before {", "if d.Version == before {"},
		{"pkg/sidecar/follower.go", "\tf.table.Store(table)\n", "\tif mutantFirst == nil {\n\t\tmutantFirst = table.Document\n\t}\n\tf.table.Store(table)\n"},
		{"pkg/sidecar/follower.go", "// documentMethod is", "var mutantFirst *routing.Document\n\n// documentMethod is"},
		{"pkg/sidecar/follower.go", "\t\t\tf.storeFailed(err)\n", "\t\t\tf.storeFailed(err)\n\t\t\tf.activate(mutantFirst, nil, \"mutant\")\n"},
	}, nil},
	{"does not relay configurations", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/node.go", "n.follower.onChange = r.broadcast", ""},
		{"pkg/sidecar/node.go", "n.follower.observeVersion(context.Background(), uint64(beat.Version), from.ControlAddress, peerDelay)", "_ = peerDelay"},
	}, nil},
	{"ignores draining", []guarantee{guaranteeDrain}, []replacement{
		{"platform/instances.go", "Draining: *in.State == wire.StateDraining", "Draining: false"},
	}, nil},
	{"forwards the deadline unchanged", []guarantee{guaranteeDeadline}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.DeadlineMS, strconv.FormatInt(remaining, 10))\n", "\t_ = strconv.Itoa\n"},
	}, nil},
	{"retries without a budget", []guarantee{guaranteeRetryBudget}, []replacement{
		{"pkg/retry/budget.go", "if retries+1 > allowed {", "if retries+1 > allowed+1e9 {"},
	}, nil},
	{"does not wait for callers on shutdown", []guarantee{guaranteeGracefulStop}, []replacement{
		{"pkg/sidecar/run.go", "\tn.stopServer(ctx, n.callers, \"callers\")\n", ""},
		{"pkg/sidecar/run.go", "\tn.outbound.refuseBeyond(deadline)\n", ""},
	}, nil},
	{"closes connections with unread requests on shutdown", []guarantee{guaranteeGracefulStop}, []replacement{
		{"pkg/pipeline/conn.go", "if isTimeout(err) && !c.closing && socket.HasUnread(c.socket) {", "if isTimeout(err) && !c.closing && false && socket.HasUnread(c.socket) {"},
	}, runPausedStops},
	{"does not handle SIGTERM", []guarantee{guaranteeProcessLifetime, guaranteeGracefulStop}, []replacement{
		{"pkg/daemon/daemon.go", "syscall.SIGTERM, syscall.SIGINT", "syscall.SIGINT"},
	}, nil},
	{"exposes more than granted", []guarantee{guaranteeRollout}, []replacement{
		{"pkg/rollout/gate.go", "if v.Forwarded >= g.permit.Limit {", "if v.Forwarded < 0 {"},
	}, runLateBadRollout},
	{"completes with requests on the base version", []guarantee{guaranteeRollout}, []replacement{
		{"pkg/rollout/decider.go", "if version != d.state.Order.Target && v.InFlight > 0 {", "if version == \"\" && v.InFlight > 0 {"},
		{"pkg/rollout/decider.go", "if !d.isConfirmed(now, n) || n.latest.Base != Closed || d.hasBaseRequest(n) {", "if n == nil {"},
	}, runGoodRollout},
	{"does not notice a restored store", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/generation.go", "number, err := strconv.ParseInt(stated, 10, 64)", "number, err := strconv.ParseInt(\"\", 10, 64)"},
	}, runRestoredStore},
	{"waits for responses that a silent store has dropped", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/poll.go", "recovery-StoreCallTimeout-recoveryMargin", "recovery-StoreCallTimeout"},
		{"pkg/sidecar/poll.go", "case !p.responding:", "case p.source == nil:"},
		{"pkg/sidecar/poll.go", "interval-time.Since(callStarted)", "interval"},
	}, runSilentStore},
	{"leaves reading to nodes that the store turns away", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/substitute.go", "if !r.substitute.mayAsk() {", "if !r.substitute.mayAsk() || true {"},
	}, runTurnedAwayReaders},
	{"relays on connections that went silent with others", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/rpc/client.go", "c.retireQuiet(start)", "_ = start"},
		{"platform/store.go", "s.client.CloseIdleConnections()", "_ = ctx"},
	}, runSilentConnections},
	{"ignores named limits", []guarantee{guaranteeLimit}, []replacement{
		{"pkg/sidecar/intake.go", "s.admission.SetRateLimit(s.limit)", "_ = s.admission"},
	}, runNamedLimits},
	{"ignores responses of leaving backend servers", []guarantee{guaranteeDrain}, []replacement{
		{"pkg/sidecar/intake.go", "in.onLeaving(i)", "_ = in.onLeaving"},
	}, runNamedLimits},
	{"does not block requests that crash backend servers", []guarantee{guaranteeDeadlyRequests}, []replacement{
		{"pkg/quarantine/table.go", "case blocked > 0:", "case blocked > 0 && len(e.crashed) == 0:"},
	}, runDeadlyRequests},
	{"keeps 64 MiB of a response header", []guarantee{guaranteeMemory}, []replacement{
		{"pkg/hop/exchange.go", "maxResponseHeaderBytes = 64 << 10", "maxResponseHeaderBytes = 64 << 20"},
	}, runEndlessResponses},
	{"admits unknown keys", []guarantee{guaranteeTeams}, []replacement{
		{"pkg/sidecar/teams.go", "\treturn o.refuseForGood(http.StatusUnauthorized, reasonKeyUnknown)\n", "\treturn nil\n"},
	}, nil},
	{"passes keys on", []guarantee{guaranteeTeams}, []replacement{
		{"pkg/sidecar/teams.go", "delete(header, o.headers.Key)", "_ = o.key"},
	}, nil},
	{"keeps withdrawn keys", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/teams.go", "\t\tq.team = table.Team(key)\n", "\t\tif q.team = table.Team(key); q.team != nil {\n\t\t\tmutantTeams.Store(key, q.team)\n\t\t} else if held, ok := mutantTeams.Load(key); ok {\n\t\t\tq.team = held.(*routing.Team)\n\t\t}\n"},
		{"pkg/sidecar/teams.go", "// identify decides", "var mutantTeams sync.Map\n\n// identify decides"},
	}, nil},
	{"keeps the first instance", []guarantee{guaranteeRecovery, guaranteeBackendsUsed}, []replacement{
		{"pkg/sidecar/inbound.go", "if old == nil || old.ID != a.ID || old.StartTimeMS != a.StartTimeMS {", "if old == nil {"},
	}, nil},
}

// Checks that the soak detects a violation of each guarantee. A passing soak means little if its checker cannot fail.
func TestMutants(t *testing.T) {
	if !*mutants {
		t.Skip("takes some minutes; run it with -mutants")
	}
	dir := t.TempDir()
	for i, m := range allMutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			binary, err := build(dir, "mutant-"+string(rune('a'+i)), m.changes)
			require.NoError(t, err)
			for seed := uint64(1); seed <= mutantSeeds; seed++ {
				run := m.run
				if run == nil {
					run = runSeed
				}
				for _, v := range run(t, binary, seed, *size) {
					if slices.Contains(m.violates, v.guarantee) {
						t.Logf("detected with seed %d: %s: %s", seed, v.guarantee, v.description)
						return
					}
				}
			}
			t.Errorf("not detected in %d seeds", mutantSeeds)
		})
	}
}

// Guards against mutants that no longer match the sources: the mutants are built only on request, but their quotes are always checked.
func TestMutantsFindTheirGuards(t *testing.T) {
	for _, m := range allMutants {
		for _, c := range m.changes {
			source, err := os.ReadFile(filepath.Join("../..", c.file))
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(source), c.old), "%s: %s must contain %q exactly once", m.name, c.file, c.old)
		}
	}
}

func TestMutants_CoverEachGuarantee(t *testing.T) {
	for _, g := range []guarantee{
		guaranteeAtMostOnce, guaranteeNotExecuted, guaranteeResponseIntegrity, guaranteeRequestIntegrity, guaranteeConfiguredService, guaranteeRoutable, guaranteeMonotonicVersion, guaranteeConfigApplied, guaranteeDrain,
		guaranteeDeadline, guaranteeRetryBudget, guaranteeGracefulStop, guaranteeProcessLifetime, guaranteeRecovery, guaranteeBackendsUsed,
		guaranteeRollout, guaranteeLimit, guaranteeDeadlyRequests, guaranteeMemory, guaranteeTeams,
	} {
		found := slices.ContainsFunc(allMutants, func(m mutant) bool { return slices.Contains(m.violates, g) })
		if !found {
			t.Errorf("no mutant violates: %s", g)
		}
	}
}
