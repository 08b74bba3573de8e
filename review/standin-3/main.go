// Command cases plays the script cases of the third review. It starts the sidecars as separate processes, with stand-ins of the platform's store, of
// backends and of clients on loopback addresses, and judges what clients and backends saw.
//
//	cases NAME RECORD          plays a case and writes its record; exit code 1: the rule was broken, 0: it held, 2: the case could not run
//	cases backend ...          one backend, started by the above
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// maxRun ends a case that does not end by itself.
const maxRun = 115 * time.Second

// play is a case. It returns whether the rule was broken.
type play func(w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"encoded-slash":   playEncodedSlash,
	"popular-request": playPopularRequest,
	"late-leave":      playLateLeave,
	"hot-request":     playHotRequest,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "backend" {
		if err := runBackend(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNoRun)
		}
		return
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2]))
}

func runCase(p play, recordPath string) (code int) {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer w.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("trouble: %v", trouble)
	go func() {
		broken, err := p(w, trouble)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxRun):
		o.err = fmt.Errorf("not finished within %v", maxRun)
	}
	switch {
	case o.err != nil:
		w.note("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitNoRun
	case o.broken:
		w.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
