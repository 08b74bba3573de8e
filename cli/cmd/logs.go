package cmd

import (
	"io"
	"os"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// readLogs opens the log files in the value of --logs, a comma-separated list of paths, and passes them to read.
func readLogs(names string, read func(logs []io.Reader) error) error {
	if names == "" {
		return apierror.New(usageKind, "--logs: no log file is given", "pass the log files of the nodes, separated by commas")
	}
	logs, closeAll, err := openFiles("--logs", names)
	if err != nil {
		return err
	}
	defer closeAll()
	if err := read(logs); err != nil {
		return apierror.New(apierror.Invalid, "reading the logs: "+err.Error(), "pass log files that nodes have written")
	}
	return nil
}

// openFiles opens the files in a comma-separated list of paths, which is the value of an option.
func openFiles(option, names string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			file.Close()
		}
	}
	for path := range strings.SplitSeq(names, ",") {
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, apierror.New(usageKind, option+": "+err.Error(), "pass existing files")
		}
		files = append(files, file)
		readers = append(readers, file)
	}
	return readers, closeAll, nil
}
