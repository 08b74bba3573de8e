// Package bundle reads a directory of templates and parameters and validates it without a node.
//
// The layout is templates/<template>.json and parameters/<team>/<template>.json. Any other file in these two folders is
// an error; files outside them are ignored.
package bundle

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Folders of a bundle.
const (
	TemplatesFolder  = "templates"
	ParametersFolder = "parameters"
)

const (
	fileExtension = ".json"
	maxFiles      = 10_000
	pathRemedy    = "use templates/<template>.json and parameters/<team>/<template>.json"
	rootRemedy    = "specify a directory with " + TemplatesFolder + "/ and " + ParametersFolder + "/"
)

// File is one template, or the parameters of one team for a template.
type File struct {
	Path    string
	Entity  config.Entity
	Payload json.RawMessage
}

// Read returns the files of a bundle, templates first, and all errors in their names, sizes and JSON syntax.
func Read(root fs.FS) ([]File, error) {
	var files []File
	var errs apierror.List
	for _, folder := range []string{TemplatesFolder, ParametersFolder} {
		found, folderErrs := readFolder(root, folder)
		files = append(files, found...)
		errs = append(errs, folderErrs...)
	}
	if len(files) == 0 && len(errs) == 0 {
		errs = append(errs, apierror.New(apierror.NotFound, "no templates or parameters found", rootRemedy))
	}
	return files, errs.Err()
}

func readFolder(root fs.FS, folder string) ([]File, apierror.List) {
	var files []File
	var errs apierror.List
	walkErr := fs.WalkDir(root, folder, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return nil
		}
		if len(files) == maxFiles {
			return fmt.Errorf("more than %d files", maxFiles)
		}
		file, fileErr := readFile(root, name)
		if fileErr != nil {
			errs = append(errs, fileErr)
			return nil
		}
		files = append(files, file)
		return nil
	})
	if walkErr != nil && !errors.Is(walkErr, fs.ErrNotExist) {
		errs = append(errs, apierror.InvalidField(folder, walkErr.Error(), rootRemedy))
	}
	return files, errs
}

func readFile(root fs.FS, name string) (File, *apierror.Error) {
	entity, ok := entityForPath(name)
	if !ok {
		return File{}, apierror.InvalidField(name, "not a valid path of a template or of parameters", pathRemedy)
	}
	source, err := root.Open(name)
	if err != nil {
		return File{}, apierror.InvalidField(name, err.Error(), "make the file readable")
	}
	defer source.Close()
	payload, err := io.ReadAll(io.LimitReader(source, config.MaxRecordBytes+1))
	if err != nil {
		return File{}, apierror.InvalidField(name, err.Error(), "make the file readable")
	}
	if len(payload) > config.MaxRecordBytes {
		return File{}, apierror.InvalidField(name, "exceeds 256 KiB", "split it")
	}
	if !json.Valid(payload) {
		return File{}, apierror.InvalidField(name, "not valid JSON", "correct the file")
	}
	return File{Path: name, Entity: entity, Payload: payload}, nil
}

// entityForPath returns the entity of a file, or false if its path does not fit the layout.
func entityForPath(name string) (config.Entity, bool) {
	stem, isJSON := strings.CutSuffix(name, fileExtension)
	parts := strings.Split(stem, "/")
	valid := isJSON && !slices.ContainsFunc(parts, func(part string) bool { return !config.ValidName(part) })
	switch {
	case valid && len(parts) == 2 && parts[0] == TemplatesFolder:
		return config.TemplateEntity(parts[1]), true
	case valid && len(parts) == 3 && parts[0] == ParametersFolder:
		return config.ParametersEntity(parts[1], parts[2]), true
	default:
		return config.Entity{}, false
	}
}

// Apply publishes files on a state, or amends entities whose content differs. Since a file may refer to what another one
// defines, it retries rejected files until no more are accepted. It returns the new state, the accepted files in an order
// in which they can be published, and the errors of the others. Files whose content is already current are in neither.
func Apply(state *config.State, files []File) (*config.State, []File, apierror.List) {
	var accepted []File
	pending := files
	for {
		var rejected []File
		var errs apierror.List
		for _, file := range pending {
			next, changed, fileErrs := applyFile(state, file)
			if len(fileErrs) > 0 {
				rejected = append(rejected, file)
				errs = append(errs, fileErrs...)
				continue
			}
			state = next
			if changed {
				accepted = append(accepted, file)
			}
		}
		if len(rejected) == 0 || len(rejected) == len(pending) {
			return state, accepted, withoutDependentErrors(errs, rejected)
		}
		pending = rejected
	}
}

// applyFile publishes or amends one file. changed is false if the state already has this content.
func applyFile(state *config.State, file File) (next *config.State, changed bool, errs apierror.List) {
	verb := config.Publish
	if existing, ok := state.Entities[file.Entity.String()]; ok && !existing.Retired() {
		if len(config.DiffContent(existing.Current().Payload, file.Payload)) == 0 {
			return state, false, nil
		}
		verb = config.Amend
	}
	record := config.Record{
		ID:   fmt.Sprintf("bundle-%d", state.Offset+1),
		Verb: verb, Entity: file.Entity, Base: state.Revision(file.Entity), Payload: file.Payload,
	}
	data, err := json.Marshal(record)
	if err != nil {
		return state, false, apierror.List{apierror.InvalidField(file.Path, err.Error(), "correct the file")}
	}
	next, result := config.Apply(state, state.Offset+1, data)
	if result.Outcome == config.Accepted {
		return next, true, nil
	}
	for _, e := range result.Errors {
		field := strings.TrimPrefix(strings.TrimPrefix(e.Field, file.Entity.String()), ": ")
		e.Field = strings.TrimSuffix(file.Path+": "+field, ": ")
	}
	return state, false, result.Errors
}

// withoutDependentErrors removes the errors of parameters whose template is rejected itself.
func withoutDependentErrors(errs apierror.List, rejected []File) apierror.List {
	failedTemplates := make(map[string]bool)
	for _, file := range rejected {
		if file.Entity.Kind == config.KindTemplate {
			failedTemplates[file.Entity.Name] = true
		}
	}
	dependent := make(map[string]bool)
	for _, file := range rejected {
		if _, template := file.Entity.Split(); file.Entity.Kind == config.KindParameters && failedTemplates[template] {
			dependent[file.Path] = true
		}
	}
	return slices.DeleteFunc(errs, func(e *apierror.Error) bool {
		source, _, _ := strings.Cut(e.Field, ":")
		return dependent[source]
	})
}
