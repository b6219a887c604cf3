// Package configcheck looks for faults in a routing configuration before it is published, and
// compares it with the one in force. It is pure: decoded configurations in, findings out.
package configcheck
