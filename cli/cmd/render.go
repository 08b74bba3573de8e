package cmd

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/bundle"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

type renderFlags struct {
	dir          string
	templateFile string
	valuesFile   string
	team         string
}

func renderVerb() verb {
	return verb{
		name:    "render",
		summary: "print the running configuration, or render a directory or one template without a node",
		examples: []string{
			"laburnumctl render",
			"laburnumctl render --dir examples/falaj",
			"laburnumctl render --template-file templates/routes.json --values-file parameters/orders/routes.json --team orders",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags renderFlags
			sc.String(&flags.dir, "", "dir", "render this directory without contacting a node")
			sc.String(&flags.templateFile, "", "template-file", "render this template only, without contacting a node")
			sc.String(&flags.valuesFile, "", "values-file", "parameters for --template-file; default: no values")
			sc.String(&flags.team, "", "team", "team for --template-file")
			return flags.render
		},
	}
}

func (f *renderFlags) render(ctx context.Context, s *session) error {
	rendered, err := f.load(ctx, s)
	if err != nil {
		return err
	}
	return s.print(rendered, func(out io.Writer) {
		encoded, err := json.Marshal(rendered)
		if err == nil {
			writeIndented(out, encoded)
		}
	})
}

func (f *renderFlags) load(ctx context.Context, s *session) (any, error) {
	switch {
	case f.dir != "":
		state, err := renderDirectory(f.dir)
		if err != nil {
			return nil, err
		}
		return state.Snapshot(), nil
	case f.templateFile != "":
		return f.renderFragment()
	default:
		return s.client.Snapshot(ctx)
	}
}

// renderFragment renders one template for one team. It does not check references to other fragments.
func (f *renderFlags) renderFragment() (*config.Fragment, error) {
	if !config.ValidName(f.team) {
		return nil, usageError("team", "missing or not a valid name", "pass the team that the template is rendered for")
	}
	source, err := readPayload(f.templateFile)
	if err != nil {
		return nil, err
	}
	template, errs := config.ParseTemplate(source)
	if len(errs) > 0 {
		return nil, errs
	}
	parameters := &config.Parameters{}
	if f.valuesFile != "" {
		values, err := readPayload(f.valuesFile)
		if err != nil {
			return nil, err
		}
		if parameters, errs = config.ParseParameters(values); len(errs) > 0 {
			return nil, errs
		}
	}
	fragment, errs := template.Render(f.team, parameters.Values)
	if len(errs) > 0 {
		return nil, errs
	}
	return fragment, nil
}

// renderDirectory returns the state that results from publishing the bundle in dir to an empty configuration.
func renderDirectory(dir string) (*config.State, error) {
	files, err := bundle.Read(os.DirFS(dir))
	if apierror.KindOf(err) == apierror.NotFound {
		return nil, usageError("dir", dir+" contains no templates and no parameters", "pass a directory with templates/ and parameters/")
	}
	if err != nil {
		return nil, err
	}
	state, _, errs := bundle.Apply(config.NewState(), files)
	return state, errs.Err()
}
