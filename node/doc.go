// Package node puts the parts of a daemon together as a tree of supervised
// services.
package node
