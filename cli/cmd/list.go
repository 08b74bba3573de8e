package cmd

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

type listFlags struct {
	kind string
	team string
	all  bool
}

func listVerb() verb {
	return verb{
		name:    "list",
		summary: "list templates and teams' parameters with their current revisions",
		examples: []string{
			"laburnumctl list",
			"laburnumctl list --kind parameters --team orders --output json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags listFlags
			sc.String(&flags.kind, "", "kind", "template or parameters; default: both")
			sc.String(&flags.team, "", "team", "only the parameters of this team")
			sc.Bool(&flags.all, "", "all", "include retired entities")
			return flags.list
		},
	}
}

func (f *listFlags) list(ctx context.Context, s *session) error {
	if f.kind != "" && f.kind != string(config.KindTemplate) && f.kind != string(config.KindParameters) {
		return usageError("kind", "unknown kind "+f.kind, "use template or parameters")
	}
	response, err := s.client.Entities(ctx)
	if err != nil {
		return err
	}
	selected := []operator.EntitySummary{}
	for _, entity := range response.Entities {
		if f.selects(entity) {
			selected = append(selected, entity)
		}
	}
	response.Entities = selected
	return s.print(response, func(out io.Writer) { writeEntities(out, selected) })
}

func (f *listFlags) selects(entity operator.EntitySummary) bool {
	if entity.Retired && !f.all {
		return false
	}
	if f.kind != "" && string(entity.Entity.Kind) != f.kind {
		return false
	}
	return f.team == "" || strings.HasPrefix(entity.Entity.Name, f.team+"/")
}

func writeEntities(out io.Writer, entities []operator.EntitySummary) {
	rows := [][]string{{"KIND", "NAME", "REVISION", "LAST CHANGE", "AUTHOR"}}
	for _, e := range entities {
		rows = append(rows, []string{string(e.Entity.Kind), e.Entity.Name, strconv.FormatInt(e.Revision, 10), string(e.Verb), e.Author})
	}
	writeTable(out, rows)
}
