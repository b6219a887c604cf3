package e2e

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/standin"
)

func (f *fleet) status(d *daemon) node.Status {
	f.t.Helper()
	var s node.Status
	f.call(http.MethodGet, d.host.OperatorAddress+"/operator/status", nil, &s)
	return s
}

// awaitRevision waits until every daemon has at least a revision in force.
func (f *fleet) awaitRevision(daemons []*daemon, revision int64) {
	f.t.Helper()
	for _, d := range daemons {
		eventually(f.t, d.name+" in force", func() bool { return f.status(d).Revision >= revision })
	}
}

// TestPublicationNewHostDuringOutage starts a host while the store turns away the
// calls on the stream of configurations, as it may for single partitions: it
// must take up what its peers have, become ready, and keep it over the end of
// the outage.
func TestPublicationNewHostDuringOutage(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 2})
	revision := f.status(f.daemons[0]).Revision
	f.storeFaults(standin.StoreFaults{Outage: standin.OutageBusy, Topics: []string{publication.Stream}})
	late := f.addDaemon("late", "")
	eventually(t, "late host ready", func() bool { return statusOf(late.host.OperatorAddress+"/readyz") == http.StatusOK })
	if got := f.status(late).Revision; got != revision {
		t.Errorf("late host is ready at revision %d, others have %d", got, revision)
	}
	f.storeFaults(standin.StoreFaults{})
	f.publish(changedSet(t, "16384", "16000"))
	f.awaitRevision(f.daemons, revision+1)
}

// TestPublicationSurvivesTrim trims the whole stream once a refresh stands in
// it, and then starts a host without any other.
func TestPublicationSurvivesTrim(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 2, engines: 1, settings: "[publication]\nrefresh = 300ms\n"})
	revision := f.status(f.daemons[0]).Revision
	eventually(t, "trimmed", func() bool {
		f.call(http.MethodPost, f.storeURL+"/standin/trim", standin.TrimRequest{Topic: publication.Stream, Before: revision + 1}, nil)
		first, end := f.horizon(publication.Stream)
		return first == revision+1 && end > revision+2
	})
	for _, d := range f.daemons {
		d.kill()
		f.unlist(d.name)
	}
	alone := f.addDaemon("alone", "")
	eventually(t, "new host ready", func() bool { return statusOf(alone.host.OperatorAddress+"/readyz") == http.StatusOK })
	if got := f.status(alone).Revision; got != revision {
		t.Errorf("new host is ready at revision %d, want %d", got, revision)
	}
}

// changedSet returns a copy of the example with one value replaced.
func changedSet(t *testing.T, old, value string) string {
	t.Helper()
	files, err := filepath.Glob("../examples/hronec/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no example", err)
	}
	dir := t.TempDir()
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(data), old, value)
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// TestPublicationRace lets operators publish different sets made from the same
// revision: one wins, the others are told of the conflict and the winner.
func TestPublicationRace(t *testing.T) {
	const operators = 6
	f := newFleet(t, fleetOptions{daemons: 2, engines: 1})
	base := f.status(f.daemons[0]).Revision
	outputs := make([]string, operators)
	won := make([]bool, operators)
	var group sync.WaitGroup
	for i := range operators {
		dir := changedSet(t, "16384", []string{"9001", "9002", "9003", "9004", "9005", "9006"}[i])
		group.Go(func() {
			cmd := exec.Command(filepath.Join(binaries, "peridotmount"), "publish", dir, "--store", f.store, "--base", strconv.FormatInt(base, 10))
			out, err := cmd.CombinedOutput()
			outputs[i], won[i] = string(out), err == nil
		})
	}
	group.Wait()
	winners := 0
	for i := range operators {
		if won[i] {
			winners++
		} else if !strings.Contains(outputs[i], "is in force") {
			t.Errorf("operator %d was told: %s", i, outputs[i])
		}
	}
	if winners != 1 {
		t.Errorf("%d operators won: %q", winners, outputs)
	}
	f.awaitRevision(f.daemons, base+1)
}
