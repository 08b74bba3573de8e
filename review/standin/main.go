package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its scenario, which reports whether the rule was broken.
var cases = map[string]func(dir string, trouble bool, record *os.File) (broken bool, err error){
	"crash": crash, "smuggle": smuggle, "rest": rest, "behind": behind, "weights": weights, "leave": leave,
}

func main() {
	name := flag.String("case", "", "scenario")
	folder := flag.String("dir", ".", "folder of the case")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

func run(name, folder string) int {
	scenario := cases[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	if _, err := os.Stat("target/laburnum-sidecar"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitNotRun) // the kernel ends the sidecars with their parent
	})
	broken, err := scenario(dir, os.Getenv("TROUBLE") != "0", record)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken; see", record.Name())
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
