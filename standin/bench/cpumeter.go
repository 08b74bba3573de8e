package bench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// cpuMeter measures CPU utilisation, so that results that were limited by the machine can be identified.
type cpuMeter struct {
	fleet *fleet.Fleet
	begin cpuTimes
}

// cpuTimes holds cumulative CPU times in seconds.
type cpuTimes struct {
	at                         time.Time
	busy                       float64 // all processes of the machine
	generator, nodes, backends float64
}

// cpuUse is the mean CPU utilisation in cores.
type cpuUse struct {
	cores                           int
	all, generator, nodes, backends float64
}

// String returns key=value pairs without a line break.
func (u cpuUse) String() string {
	return fmt.Sprintf("machine_cores_used=%.1f of_cores=%d generator_cores=%.2f nodes_cores=%.2f backends_cores=%.2f",
		u.all, u.cores, u.generator, u.nodes, u.backends)
}

func startCPUMeter(f *fleet.Fleet) (*cpuMeter, error) {
	m := &cpuMeter{fleet: f}
	var err error
	m.begin, err = m.read()
	return m, err
}

// end returns the mean utilisation since startCPUMeter.
func (m *cpuMeter) end() (cpuUse, error) {
	now, err := m.read()
	seconds := now.at.Sub(m.begin.at).Seconds()
	return cpuUse{
		cores: runtime.NumCPU(), all: (now.busy - m.begin.busy) / seconds,
		generator: (now.generator - m.begin.generator) / seconds,
		nodes:     (now.nodes - m.begin.nodes) / seconds, backends: (now.backends - m.begin.backends) / seconds,
	}, err
}

func (m *cpuMeter) read() (cpuTimes, error) {
	t := cpuTimes{at: time.Now()}
	var err error
	if t.busy, err = busyCPUSeconds(); err != nil {
		return t, err
	}
	var own syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &own); err != nil {
		return t, eris.Wrap(err, "reading own CPU time")
	}
	t.generator = float64(own.Utime.Nano()+own.Stime.Nano()) / 1e9
	for _, n := range m.fleet.Nodes {
		node, _, err := processUsage(n.PID())
		if err != nil {
			return t, err
		}
		backend, _, err := processUsage(n.BackendPID())
		if err != nil {
			return t, err
		}
		t.nodes += node
		t.backends += backend
	}
	return t, nil
}

// busyCPUSeconds returns the CPU time in seconds that the machine has spent since boot, excluding idle and I/O wait.
func busyCPUSeconds() (float64, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, eris.Wrap(err, "reading machine CPU time")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	fields := strings.Fields(line)
	const idle, ioWait = 4, 5 // indexes in the first line, whose field 0 is its name
	total := 0.0
	for i := 1; i < len(fields) && i <= 8; i++ {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, eris.Wrap(err, "parsing /proc/stat")
		}
		if i != idle && i != ioWait {
			total += ticks
		}
	}
	return total / clockTicks, nil
}
