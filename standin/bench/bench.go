// Package bench benchmarks complete fleets of separate processes on loopback. It measures convergence, control traffic, CPU
// time and memory at several fleet sizes, and latency and goodput of calls, each with its baselines from the same run.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// Options configures a benchmark.
type Options struct {
	BinDir  string
	WorkDir string
	Sizes   []int // fleet sizes in nodes, measured one after the other
	Out     io.Writer

	Deployment string // for Calls: only this deployment; empty: all
	Part       string // for Calls: only "latency" or "surges"; empty: both
}

const (
	readyTimeout     = 2 * time.Minute
	announceInterval = time.Second
	clockTicks       = 100 // per second, in /proc/PID/stat
	changesPerDay    = 2800
	secondsPerDay    = 86400
)

// run is one fleet under measurement.
type run struct {
	options    Options
	fleet      *fleet.Fleet
	stop       context.CancelFunc
	announcers sync.WaitGroup
}

// startFleet starts the Falaj deployment at the given size, announces a backend server for each node and publishes the
// example configuration. This process makes the announcements itself, which saves one backend server process per node.
func startFleet(ctx context.Context, o Options, size int) (*run, error) {
	work := filepath.Join(o.WorkDir, strconv.Itoa(size))
	if err := os.MkdirAll(work, 0o755); err != nil {
		return nil, eris.Wrap(err, "creating work directory")
	}
	started, err := fleet.Start(ctx, fleet.Options{
		Deployment: fleet.Falaj().Scaled(size), BinDir: o.BinDir, WorkDir: work, NoBackends: true, LogLevel: "warn",
	})
	if err != nil {
		return nil, err
	}
	announceCtx, stop := context.WithCancel(ctx)
	r := &run{options: o, fleet: started, stop: stop}
	for i, n := range started.Nodes {
		r.announcers.Go(func() { announce(announceCtx, n, time.Duration(i)*announceInterval/time.Duration(size)) })
	}
	if err := r.prepare(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *run) close() {
	r.stop()
	r.announcers.Wait()
	r.fleet.Kill()
}

func (r *run) prepare(ctx context.Context) error {
	if err := r.fleet.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	if err := r.fleet.WaitEndpoints(ctx, readyTimeout); err != nil {
		return err
	}
	files, err := fleet.ExampleFiles(r.fleet.Options.Deployment.Name)
	if err != nil {
		return err
	}
	var version int64
	for _, file := range files {
		result, err := r.publish(ctx, config.Publish, file.Entity, 0, file.Payload)
		if err != nil {
			return err
		}
		version = result.Offset
	}
	return r.fleet.WaitVersion(ctx, readyTimeout, version, r.fleet.Nodes)
}

// publish publishes a record through a node that depends on base, so that successive records use different nodes.
func (r *run) publish(ctx context.Context, verb config.Verb, entity config.Entity, base int64, payload []byte) (config.Result, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return config.Result{}, eris.Wrap(err, "making a record id")
	}
	node := r.fleet.Nodes[int(base)%len(r.fleet.Nodes)]
	record := &config.Record{ID: id.String(), Verb: verb, Entity: entity, Base: base, Payload: payload, Author: "bench"}
	result, err := node.Client().Publish(ctx, record)
	if err != nil {
		return result, err
	}
	if result.Outcome != config.Accepted {
		return result, eris.Errorf("%s %s: %s %v", verb, entity, result.Outcome, result.Errors)
	}
	return result, nil
}

func announce(ctx context.Context, n *fleet.Node, offset time.Duration) {
	announcement := operator.Announcement{
		Service: n.Service, Address: strings.TrimPrefix(n.BackendURL, "http://"), Slots: 10, Connections: 120, State: "ready",
	}
	client := n.Client()
	timer := time.NewTimer(offset)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		_, _ = client.Announce(ctx, announcement) // a failed announcement is repeated at the next interval
		timer.Reset(announceInterval)
	}
}

// usage holds the cumulative resource usage of a fleet's nodes.
type usage struct {
	at           time.Time
	controlBytes float64 // sent between nodes, all nodes
	logBytes     float64 // sent to the log service, all nodes
	logReceived  float64 // received from the log service, all nodes
	cpuSeconds   float64 // all nodes
	rssBytes     []float64
}

func (r *run) usage() (usage, error) {
	u := usage{at: time.Now()}
	for _, n := range r.fleet.Nodes {
		values, err := n.Metrics()
		if err != nil {
			return u, err
		}
		u.controlBytes += values["laburnum_control_bytes_sent"]
		u.logBytes += values["laburnum_platform_bytes_sent"]
		u.logReceived += values["laburnum_platform_bytes_received"]
		cpu, rss, err := processUsage(n.PID())
		if err != nil {
			return u, err
		}
		u.cpuSeconds += cpu
		u.rssBytes = append(u.rssBytes, rss)
	}
	return u, nil
}

// window is the resource usage between two points in time.
type window struct {
	seconds      float64
	controlBytes float64 // bytes per second and node, sent to other nodes and the log service
	platform     float64 // bytes per second at the log service, both directions, all nodes
	cpuPercent   float64 // percentage of one core, per node
	rssMB        float64 // maximum over all nodes at the end, in MiB
}

func usageBetween(before, after usage) window {
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(after.rssBytes))
	return window{
		seconds:      seconds,
		controlBytes: (after.controlBytes - before.controlBytes + after.logBytes - before.logBytes) / seconds / nodes,
		platform:     (after.logBytes - before.logBytes + after.logReceived - before.logReceived) / seconds,
		cpuPercent:   (after.cpuSeconds - before.cpuSeconds) / seconds / nodes * 100,
		rssMB:        maximum(after.rssBytes) / (1 << 20),
	}
}

// measure returns the resource usage of the fleet while during runs.
func (r *run) measure(during func() error) (window, error) {
	before, err := r.usage()
	if err != nil {
		return window{}, err
	}
	if err := during(); err != nil {
		return window{}, err
	}
	after, err := r.usage()
	return usageBetween(before, after), err
}

func maximum(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

// processUsage returns the CPU time in seconds and the resident memory in bytes of a process.
func processUsage(pid int) (cpuSeconds, rssBytes float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "reading process usage")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userTime, systemTime, rssPages = 11, 12, 21 // indexes of the fields after the program name
	if len(fields) <= rssPages {
		return 0, 0, eris.Errorf("unexpected format of /proc/%d/stat", pid)
	}
	var numbers [3]float64
	for i, position := range []int{userTime, systemTime, rssPages} {
		if numbers[i], err = strconv.ParseFloat(fields[position], 64); err != nil {
			return 0, 0, eris.Wrap(err, "parsing process usage")
		}
	}
	return (numbers[0] + numbers[1]) / clockTicks, numbers[2] * float64(os.Getpagesize()), nil
}
