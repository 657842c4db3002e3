// Command review-standins-2 plays the cases of the review: it starts the system's processes against stand-ins and judges what these see.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is the longest time that a case may run.
const maxLength = 110 * time.Second

// scenario plays a case, with its disruption if trouble is set, and reports whether the rule was broken.
type scenario func(f *fleet, storeAddress string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"unmarked-503": unmarked503,
	"odd-entry":    oddEntry,
	"no-birth":     noBirth,
	"many-parts":   manyParts,
	"deep-part":    deepPart,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE FOLDER TROUBLE, where a TROUBLE of 0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

func play(s scenario, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go func() { _ = (&http.Server{Handler: f.store}).Serve(socket) }()
	rec.line("disruption: %v", trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := s(f, socket.Addr().String(), trouble)
		done <- verdict{broken, err}
	}()
	select {
	case v := <-done:
		switch {
		case v.err != nil:
			rec.line("the case could not run: %v", v.err)
			fmt.Println("not run:", v.err)
			return exitNotRun
		case v.broken:
			rec.line("the rule was broken")
			fmt.Println("broken")
			return exitBroken
		}
		rec.line("the rule held")
		fmt.Println("held")
		return exitHeld
	case <-signals:
		rec.line("the case could not run: it was stopped")
		return exitNotRun
	case <-time.After(maxLength):
		rec.line("the case could not run: it took too long")
		return exitNotRun
	}
}
