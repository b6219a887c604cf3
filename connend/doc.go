// Package connend tells a connection that its peer closed from one that was reset.
package connend
