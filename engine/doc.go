// Package engine defines what the system asks of endpoints, the model engines
// and the plain services beside them, and HTTP clients for both.
package engine
