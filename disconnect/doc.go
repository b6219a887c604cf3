// Package disconnect tells why the connections of a listener ended: whether the client
// closed them, the network timed them out, or this host closed them.
package disconnect
