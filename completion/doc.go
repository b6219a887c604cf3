// Package completion reads OpenAI-style completion requests and writes their
// answers. Entry and keeper share it, so that a batch item is answered just as
// an online call is.
package completion
