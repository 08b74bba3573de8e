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

// wallClock is where times of day are meant: they leave the process, and none is compared with a later time of the same process.
var wallClock = map[string]string{
	"node/node.go":         "incarnation, which is to grow from one process to the next",
	"sidecar/node.go":      "the same",
	"sidecar/backend.go":   "start of this process, to compare with that of a backend server; an error costs or spares one liveness check",
	"announce/announce.go": "the later of two clocks; an error ends with lateFor",
	"clock/clock.go":       "start of the process, to which the steady clock adds",
	"explain/losses.go":    "spans of the times in log lines, which other processes have written",
	"callctx/context.go":   "deadline between nodes, within the stated bound of clock errors",
	"execution/ballot.go":  "order between nodes, with the node's name as a tie-break",
	"hop/exchange.go":      "a fixed time in the past",
	"membership/join.go":   "only compared for being the same second",
	"membership/probe.go":  "round that all members share; a wrong clock makes the choice of the target random",
}

// A wall clock that steps back by an hour must not keep a counter, a pause or a time limit from ending for an hour.
func TestWallClock_UsedOnlyInListedFiles(t *testing.T) {
	reads := regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)|\.Truncate\(|time\.Unix\(`)
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
		if found := reads.Find(source); found != nil && wallClock[filepath.ToSlash(name)] == "" {
			t.Errorf("pkg/%s holds %s: use package clock, or say here why the time of day is meant", name, found)
		}
		return nil
	})
	require.NoError(t, err)
}

func TestUnixMilli_FollowsMonotonicClock(t *testing.T) {
	start := time.Now()
	later := start.Add(1500 * time.Millisecond)
	assert.Equal(t, start.UnixMilli()+1500, unixMilli(start, later))
	assert.InDelta(t, UnixMilli(start), begun.UnixMilli()+SinceStart(start).Milliseconds(), 1)
}
