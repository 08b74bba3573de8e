package cmd

import (
	"fmt"
	"io"
	"os"
)

// progress is one line that is overwritten on a terminal. Elsewhere each change is a line of its own.
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

// end moves a terminal to the next line.
func (p *progress) end() {
	if p.terminal && p.last != "" {
		fmt.Fprintln(p.out)
	}
}
