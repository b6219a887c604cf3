// Package account tells from the logs of hosts what became of requests and batch items, and
// why those that were not served in time were not. It reads what hosts write and decides
// nothing.
package account
