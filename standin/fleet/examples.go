package fleet

import (
	"io/fs"
	"path"
	"sort"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/examples"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// ExampleFile is one template or parameters file of a deployment.
type ExampleFile struct {
	Path    string // below examples/
	Entity  config.Entity
	Content []byte
}

// EntityFlags returns the laburnumctl flags that name the entity.
func (e ExampleFile) EntityFlags() []string {
	return []string{"--kind", string(e.Entity.Kind), "--name", e.Entity.Name}
}

// ExampleFiles returns the files of a deployment, templates first.
func ExampleFiles(deployment string) []ExampleFile {
	var files []ExampleFile
	_ = fs.WalkDir(examples.Files, deployment, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".json" {
			return err
		}
		if file, ok := exampleFile(deployment, name); ok {
			files = append(files, file)
		}
		return nil
	})
	// Parameters in the order of their teams: the platform team's names sort first where others refer to its ranks.
	sort.SliceStable(files, func(i, j int) bool { return files[i].Entity.Kind > files[j].Entity.Kind })
	return files
}

func exampleFile(deployment, name string) (ExampleFile, bool) {
	content, err := examples.Files.ReadFile(name)
	if err != nil {
		return ExampleFile{}, false
	}
	relative := strings.TrimSuffix(strings.TrimPrefix(name, deployment+"/"), ".json")
	folder, rest, _ := strings.Cut(relative, "/")
	switch folder {
	case "templates":
		return ExampleFile{Path: name, Entity: config.Entity{Kind: config.KindTemplate, Name: rest}, Content: content}, true
	case "parameters":
		return ExampleFile{Path: name, Entity: config.Entity{Kind: config.KindParameters, Name: rest}, Content: content}, true
	default:
		return ExampleFile{}, false
	}
}
