//go:build review3

// Package standins3 plays the platform, the replicas and the clients of the cases 11 to 15 of the
// third review. It is built by review/build-3.sh and started by the cases' run.sh.
package standins3

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a run of a case.
const longest = 115 * time.Second

// cases are the cases by their number.
var cases = map[string]func(w *world) bool{}

// TestMain is the program: a replica, or a case.
func TestMain(*testing.M) {
	if os.Getenv("REVIEW3_REPLICA") != "" {
		playReplica()
		return
	}
	play, known := cases[os.Getenv("REVIEW3_CASE")]
	if !known {
		fmt.Fprintln(os.Stderr, "REVIEW3_CASE names no case")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play))
}

// run plays a case and returns its exit code.
func run(play func(w *world) bool) (code int) {
	w, err := newWorld(os.Getenv("REVIEW3_FOLDER"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-told:
		case <-time.After(longest):
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if p := recover(); p != nil {
			w.note("not run: %v", p)
			code = exitNotRun
		}
	}()
	broken := play(w)
	w.noteRuns()
	if broken {
		w.note("verdict: the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	return exitHeld
}
