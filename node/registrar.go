package node

import (
	"context"
	"strconv"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/settings"
)

func (n *Node) buildRegistrar() {
	s := n.settings
	n.registrar = peers.NewRegistrar(n.store, peers.Host{
		Name:        s.Host.Name,
		Incarnation: strconv.FormatInt(n.incarnation, 36),
		Address:     baseURL(s.TLS.Peers, s.Listen.Peers),
		Operators:   baseURL(s.TLS.Operators, s.Listen.Operators),
		Zone:        s.Host.Zone,
		Region:      s.Host.Region,
	}, n.logger)
}

// baseURL returns the URL of a listener with these certificate files.
func baseURL(files settings.CertificateFiles, address string) string {
	if files.Certificate == "" {
		return "http://" + address
	}
	return "https://" + address
}

// unregister takes the host's record out of the store.
func (n *Node) unregister() {
	if err := n.registrar.Remove(context.Background()); err != nil {
		_ = level.Warn(n.logger).Log("msg", "record of the host stays until it expires", "err", err)
	}
}
