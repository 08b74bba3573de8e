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
}

var allMutants = []mutant{
	{"retries non-idempotent requests", []guarantee{guaranteeAtMostOnce}, []replacement{
		{"pkg/sidecar/outbound.go", "case last.verdict == verdictUnknown && !q.route.Idempotent:", "case last.verdict == verdictUnknown && !q.route.Idempotent && false:"},
	}},
	{"reports unknown outcomes as not executed", []guarantee{guaranteeNotExecuted}, []replacement{
		{"pkg/sidecar/outbound.go", "case res.verdict == verdictNotRun:\n\t\treturn http.StatusServiceUnavailable", "case true:\n\t\treturn http.StatusServiceUnavailable"},
	}},
	{"does not compare echoed ids", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/hop/exchange.go", `if echo == "" || echo == r.ID {`, `if echo != "-" {`},
		{"pkg/hop/exchange.go", "return cn.reader.Buffered() == 0", "return true"},
		{"pkg/hop/pool.go", "if cn.reader.Buffered() > 0 {", "if cn.reader.Buffered() > 1<<20 {"},
		{"pkg/hop/pool.go", "usable = errors.Is(err, unix.EAGAIN)", "usable = err == nil || errors.Is(err, unix.EAGAIN)"},
	}},
	{"accepts unsigned responses", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/sidecar/inbound.go", `case response.Header.Get(in.headers.Signature) == "":`, "case false:"},
	}},
	{"completes truncated responses", []guarantee{guaranteeResponseIntegrity}, []replacement{
		{"pkg/hop/exchange.go", "if _, err = io.ReadFull(response.Body, data); err != nil {\n\t\treturn nil, false, reserved, err", "if n, readErr := io.ReadFull(response.Body, data); readErr != nil {\n\t\treturn data[:n], true, reserved, nil"},
	}},
	{"trusts the caller header of the request", []guarantee{guaranteeRequestIntegrity}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.Caller, c.caller)\n", ""},
	}},
	{"forwards requests to any service", []guarantee{guaranteeConfiguredService}, []replacement{
		{"pkg/sidecar/inbound.go", "case i.Service != c.service:", "case false:"},
		{"pkg/sidecar/node.go", "if view == nil || view.version != version {", "if view == nil || len(view.byService[service]) == 0 {"},
	}},
	{"answers 404 without a configuration", []guarantee{guaranteeRoutable}, []replacement{
		{"pkg/sidecar/outbound.go", "refuse(http.StatusServiceUnavailable, reasonNotReady)", "refuse(http.StatusNotFound, reasonNotReady)"},
	}},
	// Removing the guard alone violates nothing, because no peer offers an older version; so the mutant activates one itself.
	{"returns to older versions", []guarantee{guaranteeMonotonicVersion}, []replacement{
		{"pkg/sidecar/follower.go", "if d.Version <= before {", "if d.Version == before {"},
		{"pkg/sidecar/follower.go", "\t\t\tf.storeFailed(err)\n", "\t\t\tf.storeFailed(err)\n\t\t\tif len(f.previous) > 0 {\n\t\t\t\tf.activate(f.previous[0], \"mutant\")\n\t\t\t}\n"},
	}},
	{"does not relay configurations", []guarantee{guaranteeConfigApplied}, []replacement{
		{"pkg/sidecar/node.go", "n.follower.onChange = r.broadcast", ""},
		{"pkg/sidecar/node.go", "n.follower.observeVersion(context.Background(), uint64(beat.Version), from.ControlAddress, peerDelay)", "_ = peerDelay"},
	}},
	{"ignores draining", []guarantee{guaranteeDrain}, []replacement{
		{"platform/instances.go", "Draining: *in.State == wire.StateDraining", "Draining: false"},
	}},
	{"forwards the deadline unchanged", []guarantee{guaranteeDeadline}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.DeadlineMS, strconv.FormatInt(remaining, 10))\n", "\t_ = strconv.Itoa\n"},
	}},
	{"retries without a budget", []guarantee{guaranteeRetryBudget}, []replacement{
		{"pkg/retry/budget.go", "if float64(retries+1) > allowed {", "if float64(retries+1) > allowed+1e9 {"},
	}},
	{"does not wait for callers on shutdown", []guarantee{guaranteeGracefulStop}, []replacement{
		{"pkg/sidecar/run.go", "\tn.stopServer(ctx, n.callers, \"callers\")\n", ""},
	}},
	{"does not handle SIGTERM", []guarantee{guaranteeProcessLifetime, guaranteeGracefulStop}, []replacement{
		{"pkg/daemon/daemon.go", "syscall.SIGTERM, syscall.SIGINT", "syscall.SIGINT"},
	}},
	{"keeps the first instance", []guarantee{guaranteeRecovery}, []replacement{
		{"pkg/sidecar/inbound.go", "if old == nil || old.ID != a.ID || old.StartTimeMS != a.StartTimeMS {", "if old == nil {"},
	}},
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
				for _, v := range runSeed(t, binary, seed, *size) {
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
		guaranteeDeadline, guaranteeRetryBudget, guaranteeGracefulStop, guaranteeProcessLifetime, guaranteeRecovery,
	} {
		found := slices.ContainsFunc(allMutants, func(m mutant) bool { return slices.Contains(m.violates, g) })
		if !found {
			t.Errorf("no mutant violates: %s", g)
		}
	}
}
