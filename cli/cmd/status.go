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
		summary: "show a node's version and how many nodes have it; with --wait, wait until every live node has it",
		examples: []string{
			"laburnumctl status",
			"laburnumctl status --at 42 --wait --timeout 30s",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var version int64
			var waitFor waitFlags
			sc.Int64(&version, "", "at", "version to check for; default: the node's own")
			waitFor.register(sc)
			return func(ctx context.Context, s *session) error {
				return status(ctx, s, version, waitFor)
			}
		},
	}
}

func status(ctx context.Context, s *session, version int64, waitFor waitFlags) error {
	current, err := s.client.Status(ctx, version)
	if err != nil {
		return err
	}
	wanted := current.Fleet.Wanted
	if waitFor.enabled {
		if err := waitFor.wait(ctx, s, wanted); err != nil {
			return err
		}
		current, err = s.client.Status(ctx, wanted)
	} else {
		current, err = pollUntilSettled(ctx, s, wanted, current)
	}
	if err != nil {
		return err
	}
	return s.print(current, func(out io.Writer) { writeStatus(out, current) })
}

// pollUntilSettled polls the status for up to settleTimeout while members appear to lag. The first request causes the node to fetch the
// versions of the other nodes, and its response does not include them yet.
func pollUntilSettled(ctx context.Context, s *session, version int64, current operator.Status) (operator.Status, error) {
	for elapsed := time.Duration(0); elapsed < settleTimeout && current.Fleet.Reached < current.Fleet.Alive; elapsed += pollInterval {
		select {
		case <-ctx.Done():
			return current, nil
		case <-time.After(pollInterval):
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
	defaultWaitTimeout = 60 * time.Second
	pollInterval       = 200 * time.Millisecond
	settleTimeout      = time.Second
)

// waitFlags make a verb wait until every live node has a version.
type waitFlags struct {
	enabled bool
	timeout time.Duration
}

func (f *waitFlags) register(sc *flaggy.Subcommand) {
	f.timeout = defaultWaitTimeout
	sc.Bool(&f.enabled, "w", "wait", "wait until every live node has the version, and show the progress")
	sc.Duration(&f.timeout, "", "timeout", "maximum time to wait; default 60s")
}

// wait polls the status until every live member has reached the version. Progress is printed to standard error.
func (f *waitFlags) wait(ctx context.Context, s *session, version int64) error {
	if !f.enabled {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	progress := newProgress(s.stderr)
	defer progress.finish()
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
			return f.timeoutError(version, current, err)
		case <-time.After(pollInterval):
		}
	}
}

func retryable(err error) bool {
	kind := apierror.KindOf(err)
	return kind == apierror.Unavailable || kind == apierror.Overloaded
}

func (f *waitFlags) timeoutError(version int64, last operator.Status, err error) error {
	message := fmt.Sprintf("version %d has reached %d of %d live nodes after %s", version, last.Fleet.Reached, last.Fleet.Alive, f.timeout)
	if err != nil {
		message = fmt.Sprintf("version %d: no status within %s: %s", version, f.timeout, err)
	}
	remedy := fmt.Sprintf("the change remains accepted; check again with: laburnumctl status --at %d --wait", version)
	if len(last.Lagging) > 0 {
		remedy += "; behind: " + strings.Join(last.Lagging, " ")
	}
	return apierror.New(timeoutKind, message, remedy)
}
