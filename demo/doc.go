// Package demo sends one of each kind of work through a local fleet and checks
// the answers against what the stand-ins are known to give.
package demo
