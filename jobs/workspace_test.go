package jobs

import "testing"

// submitAs returns the submission of a job of a workspace whose items have 10 tokens each.
func submitAs(workspace, job, attempt string, quota int64, items ...string) *Record {
	r := submit(ID(workspace, job), attempt, quota, items...)
	r.Submit.Workspace = workspace
	return r
}

// TestJobsOfWorkspacesAreApart guards against a workspace that sees, or is kept from submitting, a job
// because another one chose the same id, and against items of one that fill the quota of another.
func TestJobsOfWorkspacesAreApart(t *testing.T) {
	l := newTestLedger(t)
	const quota = 20
	for _, x := range []struct {
		workspace, job, attempt string
		want                    Verdict
	}{
		{"a", "j", "1", Accepted}, {"b", "j", "2", Accepted}, {"", "j", "3", Accepted},
		{"a", "j", "4", Repeated}, {"a", "k", "5", OverQuota}, {"b", "k", "6", OverQuota}, {"", "k", "7", OverQuota},
		{"c", "k", "8", Accepted},
	} {
		if c := l.apply(submitAs(x.workspace, x.job, x.attempt, quota, "x", "y")); c.Verdict != x.want {
			t.Errorf("job %s of %q: verdict %s, want %s", x.job, x.workspace, c.Verdict, x.want)
		}
	}
	l.apply(result(ID("a", "j"), 0, "out"))
	l.apply(&Record{Job: ID("b", "j"), Cancel: &Cancel{}})
	for workspace, want := range map[string]int64{"a": 10, "b": 0, "": 20, "c": 20, "d": 0} {
		if got := l.state.Waiting(workspace, "r"); got != want {
			t.Errorf("%d tokens of %q wait, want %d", got, workspace, want)
		}
	}
	if c := l.apply(submitAs("a", "k", "9", quota, "x")); c.Verdict != Accepted {
		t.Errorf("verdict %s once an item of the workspace has ended", c.Verdict)
	}
	if ChosenID(ID("a", "j")) != "j" || ChosenID("j") != "j" || ID("", "j") != "j" {
		t.Error("the id that a client chose is not found again")
	}
}

// TestPartsAndTheirTokens guards against records that a reader of prompt parts can't index.
func TestPartsAndTheirTokens(t *testing.T) {
	for _, x := range []struct {
		tokens []int
		sound  bool
	}{{nil, true}, {[]int{1, 0}, true}, {[]int{1}, false}, {[]int{1, 2, 3}, false}, {[]int{1, -1}, false}} {
		r := submit("j", "j-1", 0, "i")
		r.Submit.Items[0].Prefix, r.Submit.Items[0].PrefixTokens = []string{"a", "b"}, x.tokens
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRecord(value); (err == nil) != x.sound {
			t.Errorf("tokens %v: error %v", x.tokens, err)
		}
	}
}
