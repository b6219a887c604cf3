//go:build review2

// Package standins2 holds the clients, replicas, proxies and the store that the scripts of
// review/6 and later start. It is built into one program by review/build-2.sh.
package standins2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
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

// longest is how long a case takes at most.
const longest = 110 * time.Second

// cases are the cases by the number of their folders.
var cases = map[string]func(f *fleet) (broken bool){}

// TestMain runs a case or a replica in the place of tests.
func TestMain(_ *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NUMBER ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase runs one case and returns its exit code.
func runCase(number, root, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := newFleet(root, record)
	f.endEarly()
	defer func() {
		if r := recover(); r != nil {
			failure, ok := r.(caseFailure)
			if !ok {
				f.close()
				panic(r)
			}
			f.note("the case could not run: %s", string(failure))
			fmt.Println("the case could not run:", string(failure))
			code = exitNotRun
		}
		f.close()
		_ = record.Close()
	}()
	if cases[number](f) {
		f.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.note("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endEarly ends all processes of the case, and then the case, if it is told to end or takes too long.
func (f *fleet) endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-told:
		case <-time.After(longest):
		}
		f.note("the case was ended early")
		f.close()
		os.Exit(exitNotRun)
	}()
}

// caseFailure is why a case could not run.
type caseFailure string

// fail ends a case that can't run.
func fail(format string, values ...any) {
	panic(caseFailure(fmt.Sprintf(format, values...)))
}
