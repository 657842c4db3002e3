// Command standins plays the cases of the review: it starts stand-ins of the platform, the runners and the clients, and the project's
// daemons as separate processes, and checks one rule by what clients and runners have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld        = 0
	exitBroken      = 1
	exitCouldNotRun = 2
)

// cases holds the cases by name; each returns whether its rule held.
var cases = map[string]func(dir, daemon string, rec *recorder, trouble bool) (held bool){
	"reset":   resetCase,
	"holders": holdersCase,
	"late":    lateCase,
	"quota":   quotaCase,
	"stall":   stallCase,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "early-runner" {
		earlyRunner(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE DAEMON RECORD")
		os.Exit(exitCouldNotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	check(err)
	rec := newRecorder(os.Args[3])
	daemon, err := filepath.Abs(os.Args[2])
	check(err)
	held := cases[os.Args[1]](dir, daemon, rec, os.Getenv("TROUBLE") != "0")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	rec.line("rule held: %v", held)
	fmt.Println("rule held:", held)
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
