// Package gateway puts together the duties of a host that serves the operator's
// routes: it follows the platform's store, answers readiness, and forwards.
package gateway
