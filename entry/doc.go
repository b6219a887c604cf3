// Package entry answers callers over HTTP: OpenAI-compatible completions,
// files and batches, and calls of plain services.
package entry
