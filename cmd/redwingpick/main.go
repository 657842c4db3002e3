// Command redwingpick is the command-line client for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/redwingpick/redwingpick/internal/commander"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	err := commander.New(os.Stdin, os.Stdout).Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "redwingpick:", err)
	if errors.Is(err, commander.ErrHost) || errors.Is(err, commander.ErrNotFound) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
}
