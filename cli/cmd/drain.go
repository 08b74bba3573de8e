package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

type drainFlags struct {
	wait    bool
	timeout time.Duration
}

func drainVerb() verb {
	return verb{
		name:    "drain",
		summary: "stop new calls on the node of --api; calls in flight finish",
		examples: []string{
			"laburnumctl drain --api 127.0.0.1:7003 --wait",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			flags := drainFlags{timeout: defaultWait}
			sc.Bool(&flags.wait, "w", "wait", "wait until no call is in flight, with a progress line")
			sc.Duration(&flags.timeout, "", "timeout", "longest time to wait; default 60s")
			return flags.drain
		},
	}
}

func (f *drainFlags) drain(ctx context.Context, s *session) error {
	if len(s.client.PerAddress()) != 1 {
		return usage("api", "drain acts on one node", "pass exactly one address")
	}
	status, err := s.client.Drain(ctx)
	if err != nil {
		return err
	}
	if f.wait && status.State != operator.DrainDone {
		if status, err = f.untilDone(ctx, s, status); err != nil {
			return err
		}
	}
	return s.print(status, func(out io.Writer) {
		fmt.Fprintf(out, "%s: %s, %d calls in flight\n", status.Node, status.State, status.InFlight)
	})
}

// untilDone repeats the request. A node that can no longer be reached after it had begun to drain has stopped.
func (f *drainFlags) untilDone(ctx context.Context, s *session, status operator.DrainStatus) (operator.DrainStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	progress := newProgress(s.stderr)
	defer progress.end()
	for status.State != operator.DrainDone {
		progress.show(fmt.Sprintf("%s: %d calls in flight", status.Node, status.InFlight))
		select {
		case <-ctx.Done():
			return status, apierror.New(timeoutKind, fmt.Sprintf("%s still has %d calls in flight after %s", status.Node, status.InFlight, f.timeout),
				"the drain goes on; run the same command again to wait longer")
		case <-time.After(waitInterval):
		}
		next, err := s.client.Drain(ctx)
		switch {
		case err == nil:
			status = next
		case apierror.KindOf(err) == apierror.Unavailable:
			return operator.DrainStatus{Node: status.Node, State: operator.DrainDone}, nil
		case ctx.Err() == nil:
			return status, err
		}
	}
	return status, nil
}
