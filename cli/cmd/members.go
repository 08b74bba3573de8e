package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

type removeFlags struct {
	id          string
	incarnation uint64
	confirmed   bool
}

func membersVerb() verb {
	return verb{
		name:    "members",
		summary: "list the nodes with their backend servers; \"members remove\" removes a node whose VM is gone",
		examples: []string{
			"laburnumctl members",
			"laburnumctl members remove --id seeb-tracker-1 --vm-is-gone",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags removeFlags
			remove := flaggy.NewSubcommand("remove")
			remove.Description = "confirm that the VM of a node is gone, so that calls no longer wait for the state that it held"
			remove.String(&flags.id, "", "id", "member id")
			remove.UInt64(&flags.incarnation, "", "incarnation", "incarnation to remove; default: the listed one")
			remove.Bool(&flags.confirmed, "", "vm-is-gone", "confirms that no process of this member is running or can start again")
			sc.AttachSubcommand(remove, 1)
			return func(ctx context.Context, s *session) error {
				if remove.Used {
					return flags.remove(ctx, s)
				}
				return listMembers(ctx, s)
			}
		},
	}
}

func listMembers(ctx context.Context, s *session) error {
	response, err := s.client.Members(ctx)
	if err != nil {
		return err
	}
	return s.print(response, func(out io.Writer) { writeMembers(out, response.Members) })
}

func writeMembers(out io.Writer, members []operator.Member) {
	rows := [][]string{{"ID", "REGION", "DATA CENTRE", "STATUS", "VERSION", "SERVICE", "STATE", "SLOTS", "INCARNATION", "API"}}
	for _, m := range members {
		service, state, slots := "-", "-", "-"
		if m.Endpoint != nil {
			service, state, slots = m.Endpoint.Service, m.Endpoint.State, strconv.Itoa(m.Endpoint.Slots)
		}
		rows = append(rows, []string{m.ID, m.Region, m.DataCentre, m.Status, strconv.FormatInt(m.Version, 10), service, state, slots,
			strconv.FormatUint(m.Incarnation, 10), m.APIAddress})
	}
	writeTable(out, rows)
}

func (f *removeFlags) remove(ctx context.Context, s *session) error {
	if f.id == "" {
		return usageError("id", "missing", "pass the id of a member shown by laburnumctl members")
	}
	if !f.confirmed {
		return usageError("vm-is-gone", "missing", "make sure that the VM of "+f.id+" is gone and pass --vm-is-gone; "+
			"calls may be executed twice if a process of this member is still running")
	}
	incarnation := f.incarnation
	if incarnation == 0 {
		listed, err := listedIncarnation(ctx, s, f.id)
		if err != nil {
			return err
		}
		incarnation = listed
	}
	response, err := s.client.Remove(ctx, f.id, incarnation)
	if err != nil {
		return err
	}
	return s.print(response, func(out io.Writer) {
		fmt.Fprintf(out, "removed %s, incarnation %d\n", response.ID, response.Incarnation)
	})
}

// listedIncarnation returns the incarnation of a listed member. It fails for a member that is alive, because its VM still exists.
func listedIncarnation(ctx context.Context, s *session, id string) (uint64, error) {
	response, err := s.client.Members(ctx)
	if err != nil {
		return 0, err
	}
	for _, m := range response.Members {
		if m.ID != id {
			continue
		}
		if m.Status == "alive" {
			return 0, apierror.New(apierror.Conflict, id+" is alive", "stop it, or use laburnumctl drain")
		}
		return m.Incarnation, nil
	}
	return 0, apierror.New(apierror.NotFound, "member "+id+" is not listed", "pass --incarnation with the value from the log of the node")
}
