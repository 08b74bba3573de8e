package main

import (
	"fmt"
	"os"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	host       = "review.example"
	healthPath = "/health"
)

// cases by name. Each returns whether the rule held; an error means that the case could not run.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"early-bytes":    earlyBytes,
	"foreign-report": foreignReport,
	"clock-step":     clockStep,
	"late-reports":   lateReports,
	"gone":           gone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.close(os.Getenv("KEEP") != "")
	ok, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case !ok:
		f.printf("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	f.printf("the rule held")
	fmt.Println("held")
	return held
}
