package fleet

import (
	"io/fs"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/examples"
	"github.com/laburnumcleat/laburnumcleat/pkg/bundle"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// ExampleFiles returns the templates and parameters of a deployment in an order in which they can be published.
func ExampleFiles(deployment string) ([]bundle.File, error) {
	root, err := fs.Sub(examples.Files, deployment)
	if err != nil {
		return nil, eris.Wrapf(err, "no example deployment %s", deployment)
	}
	files, err := bundle.Read(root)
	if err != nil {
		return nil, err
	}
	_, ordered, errs := bundle.Apply(config.NewState(), files)
	return ordered, errs.Err()
}
