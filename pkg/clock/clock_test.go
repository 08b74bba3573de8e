package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallClockFiles lists the files that may use wall-clock time, with the reason. These times leave the process and are not compared with
// later times of the same process, unless the reason says otherwise.
var wallClockFiles = map[string]string{
	"node/node.go":            "incarnation, which must increase from one process to the next",
	"sidecar/node.go":         "incarnation, as in node/node.go",
	"sidecar/backend.go":      "start of this process, compared with that of a backend server; a clock error adds or skips one liveness check",
	"sidecar/rollout_node.go": "start of this process, which tells its reports from those of an earlier one; it is not compared with a clock",
	"sidecar/rollout.go":      "start of a roll-out, for the node that takes over; a clock error ends it earlier or later, by its duration at most",
	"announce/announce.go":    "the later of wall clock and monotonic clock; the effect of an error ends after maxAnnouncementDelay",
	"clock/clock.go":          "start of the process, to which monotonic time is added",
	"explain/losses.go":       "intervals of timestamps in log lines, which other processes have written",
	"callctx/context.go":      "deadline passed between nodes, within the documented bound on clock errors",
	"execution/ballot.go":     "ordering between nodes, with the node id as tie-break",
	"hop/exchange.go":         "constant time in the past",
	"membership/gossip.go":    "turns to gossip across data centres, which all members share; a wrong clock shifts the turn of one member",
	"membership/join.go":      "compared only for equality of the second",
	"membership/probe.go":     "probe round shared by all members; a wrong clock makes the choice of the target random",
}

// Guards against the use of wall-clock time for counters, waits and timeouts: when the clock is set back by an hour, they would end an
// hour late.
func TestWallClock_UsedOnlyInListedFiles(t *testing.T) {
	wallClockRead := regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)|\.Truncate\(|time\.Unix\(`)
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || regexp.MustCompile(`_test\.go$`).MatchString(path) {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel("..", path)
		if err != nil {
			return err
		}
		if found := wallClockRead.Find(source); found != nil && wallClockFiles[filepath.ToSlash(name)] == "" {
			t.Errorf("pkg/%s contains %s: use package clock, or list the file in wallClockFiles with the reason for wall-clock time", name, found)
		}
		return nil
	})
	require.NoError(t, err)
}

func TestUnixMilli_FollowsMonotonicClock(t *testing.T) {
	start := time.Now()
	later := start.Add(1500 * time.Millisecond)
	assert.Equal(t, start.UnixMilli()+1500, unixMilli(start, later))
	assert.InDelta(t, UnixMilli(start), processStart.UnixMilli()+SinceStart(start).Milliseconds(), 1)
}
