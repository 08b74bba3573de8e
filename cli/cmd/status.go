package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

func statusVerb() verb {
	return verb{
		name:    "status",
		summary: "show a node's version and how far it has spread; with --wait until every live node has it",
		examples: []string{
			"laburnumctl status",
			"laburnumctl status --at 42 --wait --timeout 30s",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var version int64
			var waiting waitFlags
			sc.Int64(&version, "", "at", "version to look for; default: the node's own")
			waiting.register(sc)
			return func(ctx context.Context, s *session) error {
				return status(ctx, s, version, waiting)
			}
		},
	}
}

func status(ctx context.Context, s *session, version int64, waiting waitFlags) error {
	current, err := s.client.Status(ctx, version)
	if err != nil {
		return err
	}
	wanted := current.Fleet.Wanted
	if waiting.enabled {
		if err := waiting.wait(ctx, s, wanted); err != nil {
			return err
		}
		current, err = s.client.Status(ctx, wanted)
	} else {
		current, err = settled(ctx, s, wanted, current)
	}
	if err != nil {
		return err
	}
	return s.print(current, func(out io.Writer) { writeStatus(out, current) })
}

// settled repeats the request for a short time while members seem to lag. The first request makes the node ask the
// others for their versions, and its answer does not contain them yet.
func settled(ctx context.Context, s *session, version int64, current operator.Status) (operator.Status, error) {
	for waited := time.Duration(0); waited < settleTime && current.Fleet.Reached < current.Fleet.Alive; waited += waitInterval {
		select {
		case <-ctx.Done():
			return current, nil
		case <-time.After(waitInterval):
		}
		next, err := s.client.Status(ctx, version)
		if err != nil {
			return current, err
		}
		current = next
	}
	return current, nil
}

func writeStatus(out io.Writer, status operator.Status) {
	ready := "ready"
	if !status.Ready {
		ready = "not ready: " + status.Reason
	}
	fmt.Fprintf(out, "node      %s (%s)\n", status.Node.ID, ready)
	fmt.Fprintf(out, "version   %d, log read to %d, digest %s\n", status.Version, status.Offset, status.Digest)
	fmt.Fprintf(out, "fleet     %d alive, %d suspect, %d dead\n", status.Fleet.Alive, status.Fleet.Suspect, status.Fleet.Dead)
	fmt.Fprintf(out, "reached   %d of %d live nodes are at version %d\n", status.Fleet.Reached, status.Fleet.Alive, status.Fleet.Wanted)
	if len(status.Lagging) > 0 {
		fmt.Fprintf(out, "lagging   %s\n", strings.Join(status.Lagging, " "))
	}
}

const (
	defaultWait  = 60 * time.Second
	waitInterval = 200 * time.Millisecond
	settleTime   = time.Second
)

// waitFlags make a verb wait until a version has spread.
type waitFlags struct {
	enabled bool
	timeout time.Duration
}

func (f *waitFlags) register(sc *flaggy.Subcommand) {
	f.timeout = defaultWait
	sc.Bool(&f.enabled, "w", "wait", "wait until every live node has the version, with a progress line")
	sc.Duration(&f.timeout, "", "timeout", "longest time to wait; default 60s")
}

// wait polls the status until every live member has reached the version. Progress goes to standard error.
func (f *waitFlags) wait(ctx context.Context, s *session, version int64) error {
	if !f.enabled {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	progress := newProgress(s.stderr)
	defer progress.end()
	for {
		current, err := s.client.Status(ctx, version)
		if err == nil {
			progress.show(fmt.Sprintf("version %d: %d of %d live nodes", version, current.Fleet.Reached, current.Fleet.Alive))
			if current.Version >= version && current.Fleet.Reached >= current.Fleet.Alive {
				return nil
			}
		} else if !retryable(err) && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return f.timedOut(version, current, err)
		case <-time.After(waitInterval):
		}
	}
}

func retryable(err error) bool {
	kind := apierror.KindOf(err)
	return kind == apierror.Unavailable || kind == apierror.Overloaded
}

func (f *waitFlags) timedOut(version int64, last operator.Status, err error) error {
	message := fmt.Sprintf("version %d has reached %d of %d live nodes after %s", version, last.Fleet.Reached, last.Fleet.Alive, f.timeout)
	if err != nil {
		message = fmt.Sprintf("version %d: no status within %s: %s", version, f.timeout, err)
	}
	remedy := fmt.Sprintf("the change stays accepted; look again with: laburnumctl status --at %d --wait", version)
	if len(last.Lagging) > 0 {
		remedy += "; behind: " + strings.Join(last.Lagging, " ")
	}
	return apierror.New(timeoutKind, message, remedy)
}
