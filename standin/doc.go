// Package standin plays the outside systems, the platform's services and the
// endpoints, in tests and demonstrations. Each has switches for the failures
// that the system has to bear.
package standin
