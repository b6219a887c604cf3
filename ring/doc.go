// Package ring provides the bounded queue that joins the duties of a process.
package ring
