package cmd

import (
	"fmt"
	"io"
	"os"
)

// progress shows a status line. On a terminal the line is overwritten; otherwise each change is printed on a new line.
type progress struct {
	out      io.Writer
	terminal bool
	last     string
}

func newProgress(out io.Writer) *progress {
	p := &progress{out: out}
	if file, ok := out.(*os.File); ok {
		info, err := file.Stat()
		p.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return p
}

func (p *progress) show(text string) {
	if text == p.last {
		return
	}
	p.last = text
	if p.terminal {
		fmt.Fprintf(p.out, "\r\x1b[K%s", text)
		return
	}
	fmt.Fprintln(p.out, text)
}

// finish ends the status line on a terminal.
func (p *progress) finish() {
	if p.terminal && p.last != "" {
		fmt.Fprintln(p.out)
	}
}
