package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// mutantSeeds is how many seeds may pass before a mutant counts as not seen.
const mutantSeeds = 6

// mutant is the sidecar without one of its guards.
type mutant struct {
	name    string
	breaks  []promise // one of them is to be seen broken
	changes []replacement
}

var allMutants = []mutant{
	{"repeats payments", []promise{promiseOnce}, []replacement{
		{"pkg/sidecar/outbound.go", "case last.verdict == unknown && !q.route.Idempotent:", "case last.verdict == unknown && !q.route.Idempotent && false:"},
	}},
	{"calls the unknown not run", []promise{promiseNotRun}, []replacement{
		{"pkg/sidecar/outbound.go", "case res.verdict == notRun:\n\t\treturn http.StatusServiceUnavailable", "case true:\n\t\treturn http.StatusServiceUnavailable"},
	}},
	{"does not compare echoed ids", []promise{promiseWhole}, []replacement{
		{"pkg/hop/exchange.go", `if echo == "" || echo == r.ID {`, `if echo != "-" {`},
		{"pkg/hop/exchange.go", "return cn.reader.Buffered() == 0", "return true"},
		{"pkg/hop/pool.go", "if cn.reader.Buffered() > 0 {", "if cn.reader.Buffered() > 1<<20 {"},
		{"pkg/hop/pool.go", "quiet = errors.Is(err, unix.EAGAIN)", "quiet = err == nil || errors.Is(err, unix.EAGAIN)"},
	}},
	{"takes unsigned answers", []promise{promiseWhole}, []replacement{
		{"pkg/sidecar/inbound.go", `case response.Header.Get(in.headers.Signature) == "":`, "case false:"},
	}},
	{"ends cut answers as whole ones", []promise{promiseWhole}, []replacement{
		{"pkg/hop/exchange.go", "if _, err = io.ReadFull(in.Body, data); err != nil {\n\t\treturn nil, false, held, err", "if n, failed := io.ReadFull(in.Body, data); failed != nil {\n\t\treturn data[:n], true, held, nil"},
	}},
	{"believes what the caller says of itself", []promise{promiseAsked}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.Caller, c.caller)\n", ""},
	}},
	{"hands requests to any service", []promise{promiseService}, []replacement{
		{"pkg/sidecar/inbound.go", "case i.Service != c.service:", "case false:"},
		{"pkg/sidecar/node.go", "if view == nil || view.version != version {", "if view == nil || len(view.byService[service]) == 0 {"},
	}},
	{"denies what it does not know", []promise{promiseAllowed}, []replacement{
		{"pkg/sidecar/outbound.go", "refuse(http.StatusServiceUnavailable, reasonNotReady)", "refuse(http.StatusNotFound, reasonNotReady)"},
	}},
	// Without its guard alone the node keeps the promise, since nothing offers it an older version; so this one does.
	{"goes back to older versions", []promise{promiseVersion}, []replacement{
		{"pkg/sidecar/follower.go", "if d.Version <= before {", "if d.Version == before {"},
		{"pkg/sidecar/follower.go", "\t\t\tf.failed(err)\n", "\t\t\tf.failed(err)\n\t\t\tif len(f.former) > 0 {\n\t\t\t\tf.offer(f.former[0], \"mutant\")\n\t\t\t}\n"},
	}},
	{"does not pass configurations on", []promise{promiseApplied}, []replacement{
		{"pkg/sidecar/node.go", "n.follower.changed = r.spread", ""},
		{"pkg/sidecar/node.go", "n.follower.heard(context.Background(), uint64(beat.Version), from.ControlAddress, peerDelay)", "_ = peerDelay"},
	}},
	{"does not heed a leave", []promise{promiseDrain}, []replacement{
		{"platform/instances.go", "Draining: *in.State == wire.StateDraining", "Draining: false"},
	}},
	{"passes on the deadline as it came", []promise{promiseDeadline}, []replacement{
		{"pkg/sidecar/inbound.go", "\tr.Header.Set(in.headers.DeadlineMS, strconv.FormatInt(left, 10))\n", "\t_ = strconv.Itoa\n"},
	}},
	{"repeats without a budget", []promise{promiseBudget}, []replacement{
		{"pkg/retry/budget.go", "if float64(repeats+1) > allowed {", "if float64(repeats+1) > allowed+1e9 {"},
	}},
	{"leaves its callers on a stop", []promise{promiseStop}, []replacement{
		{"pkg/sidecar/run.go", "\tn.stopServer(end, n.callers, \"callers\")\n", ""},
	}},
	{"does not handle SIGTERM", []promise{promiseRuns, promiseStop}, []replacement{
		{"pkg/daemon/daemon.go", "syscall.SIGTERM, syscall.SIGINT", "syscall.SIGINT"},
	}},
	{"keeps to the first instance", []promise{promiseRecovery}, []replacement{
		{"pkg/sidecar/inbound.go", "if old == nil || old.ID != a.ID || old.Born != a.Born {", "if old == nil {"},
	}},
}

// Each promise can be seen broken. Without this, a soak that passes would say little.
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
				for _, v := range soak(t, binary, seed, *size) {
					if slices.Contains(m.breaks, v.promise) {
						t.Logf("seen with seed %d: %s: %s", seed, v.promise, v.text)
						return
					}
				}
			}
			t.Errorf("not seen in %d seeds", mutantSeeds)
		})
	}
}

// The mutants are built on request only; that their guards still stand where they look for them is checked each time.
func TestMutantsFindTheirGuards(t *testing.T) {
	for _, m := range allMutants {
		for _, c := range m.changes {
			source, err := os.ReadFile(filepath.Join("../..", c.file))
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(source), c.old), "%s: %s holds %q", m.name, c.file, c.old)
		}
	}
}

func TestMutants_CoverEachGuarantee(t *testing.T) {
	for _, p := range []promise{
		promiseOnce, promiseNotRun, promiseWhole, promiseAsked, promiseService, promiseAllowed, promiseVersion, promiseApplied, promiseDrain,
		promiseDeadline, promiseBudget, promiseStop, promiseRuns, promiseRecovery,
	} {
		found := slices.ContainsFunc(allMutants, func(m mutant) bool { return slices.Contains(m.breaks, p) })
		if !found {
			t.Errorf("no mutant breaks: %s", p)
		}
	}
}
