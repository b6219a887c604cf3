package jobs

import "strings"

// workspaceSeparator separates the workspace of a job from the id that its client chose. Neither
// contains it, as the names of workspaces and the ids of requests are values of headers.
const workspaceSeparator = "\x1f"

// ID returns the id of a job in the ledger. Clients choose the ids of their jobs, and those of
// different workspaces may choose the same one. A job without a workspace has the id that its
// client chose.
func ID(workspace, chosen string) string {
	if workspace == "" {
		return chosen
	}
	return workspace + workspaceSeparator + chosen
}

// ChosenID returns the id of a job that its client chose, by that in the ledger.
func ChosenID(id string) string {
	return id[strings.LastIndex(id, workspaceSeparator)+1:]
}
