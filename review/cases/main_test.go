//go:build review

// Package cases plays the cases of the review whose disruption is made by a script. CASE names
// the case, CASE_DIR its folder, DAEMON the daemon's program; TROUBLE=0 leaves the disruption out.
package cases

import (
	"fmt"
	"os"
	"testing"
)

var all = map[string]func(w *world){
	"late-submission": lateSubmission,
	"deadly-request":  deadlyRequest,
	"deadly-roll":     deadlyRoll,
	"mixed-versions":  mixedVersions,
}

func TestMain(*testing.M) {
	play := all[os.Getenv("CASE")]
	if play == nil {
		fmt.Println("no such case:", os.Getenv("CASE"))
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Getenv("CASE_DIR"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	os.Exit(w.run(play))
}
