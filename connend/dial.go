package connend

import (
	"context"
	"net"
)

// DialFunc connects to an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial whose connections are Conns. A client whose answers may come without a length needs it if it sends
// bodies: its connection may be reset while it writes.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
