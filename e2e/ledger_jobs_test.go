package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/pkg/errors"
)

// getJSON reads a URL of a stand-in or an operators' listener and reports whether
// it was answered.
func getJSON(url string, out any) bool {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(out) == nil
}

func upload(t *testing.T, d *daemon, data []byte) string {
	t.Helper()
	var id string
	eventually(t, "file kept", func() bool {
		file, err := d.openai(wholesaleKey).Files.New(context.Background(), openai.FileNewParams{
			File:    openai.File(bytes.NewReader(data), "lot.jsonl", "application/jsonl"),
			Purpose: openai.FilePurposeBatch,
		})
		if err == nil {
			id = file.ID
		}
		return err == nil
	})
	return id
}

func create(d *daemon, file, job string) (*openai.Batch, error) {
	return d.openai(wholesaleKey).Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID:      file,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		Metadata:         map[string]string{"job_name": job},
	})
}

// TestLedgerResendsRace sends one job from three hosts at once, and again with
// another file: all get the same job, and the last a conflict.
func TestLedgerResendsRace(t *testing.T) {
	const items = 300
	f := newFleet(t, fleetOptions{daemons: 3, engines: 3, settings: ledgerSettings})
	file := upload(t, f.daemons[0], batchFile(items))
	copied := upload(t, f.daemons[1], batchFile(items))
	ids := make([]string, 6)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() {
			batch, err := create(f.daemons[i%3], []string{file, copied}[i/3], "race")
			if err == nil {
				ids[i] = batch.ID
			}
		})
	}
	wg.Wait()
	for i := range ids {
		if ids[i] == "" || ids[i] != ids[0] {
			t.Fatalf("ids of one job: %q", ids)
		}
	}
	_, err := create(f.daemons[2], upload(t, f.daemons[2], batchFile(items+1)), "race")
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != http.StatusConflict {
		t.Errorf("another file under the same name: %v", err)
	}
	batch := awaitBatch(t, f.daemons[1], ids[0])
	f.checkEverywhere(batch, items, f.daemons)
}

// TestLedgerCancelStops cancels a running batch and loses its leader: nothing
// more runs, results stay, and the other items read cancelled.
func TestLedgerCancelStops(t *testing.T) {
	const items = 600
	f := newFleet(t, fleetOptions{daemons: 3, engines: 3, settings: ledgerSettings})
	batch := submit(t, f.daemons[0], batchFile(items), "cancelled")
	awaitItems(t, f.daemons[0], batch.ID, 20)
	var stopped *openai.Batch
	eventually(t, "cancelled", func() bool {
		got, err := f.daemons[1].openai(wholesaleKey).Batches.Cancel(context.Background(), batch.ID)
		stopped = got
		return err == nil && got.Status == openai.BatchStatusCancelled
	})
	leader := f.leaderOf(batch.ID)
	leader.kill()
	f.unlist(leader.name)
	next := f.leaderOf(batch.ID, leader)
	var after *openai.Batch
	eventually(t, "read from the next leader", func() bool {
		got, err := next.openai(wholesaleKey).Batches.Get(context.Background(), batch.ID)
		after = got
		return err == nil
	})
	if after.Status != openai.BatchStatusCancelled {
		t.Errorf("status %s on the next leader", after.Status)
	}
	completed := int(after.RequestCounts.Completed)
	if before := int(stopped.RequestCounts.Completed); completed != before {
		t.Errorf("%d items completed at the cancel, %d later", before, completed)
	}
	if completed >= items {
		t.Fatalf("all items completed: the cancel came too late")
	}
	if n := lines(output(t, next, after)); n != completed {
		t.Errorf("%d results, want %d", n, completed)
	}
	errorsOf := *after
	errorsOf.OutputFileID = after.ErrorFileID
	left := output(t, next, &errorsOf)
	if n := lines(left); n != items-completed || bytes.Count(left, []byte(`"cancelled"`)) != n {
		t.Errorf("%d items read cancelled, want %d", n, items-completed)
	}
}

func lines(data []byte) int {
	return bytes.Count(data, []byte("\n"))
}
