package cli

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"

	"github.com/peridotmount/peridotmount/fleet"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	platformTimeout = 10 * time.Second
	defaultTimeout  = 5 * time.Second
)

// connection holds the settings by which the operators' command line reaches a
// fleet.
type connection struct {
	store      string
	operators  []string
	secret     string
	secretFile string
	authority  string
	timeout    time.Duration
	// transport is shared by all calls.
	transport http.RoundTripper
}

func (c *connection) register(flags *pflag.FlagSet) {
	flags.StringVar(&c.store, "store", "", "address of the platform's store: ip:port")
	flags.StringSliceVar(&c.operators, "operators", nil, "base URLs of hosts' operators' listeners, in place of those in the store")
	flags.StringVar(&c.secret, "secret", "", "operators' secret; on the command line others can see it")
	flags.StringVar(&c.secretFile, "secret-file", "", "file that holds the operators' secret")
	flags.StringVar(&c.authority, "authority", "", "file of the authorities, in PEM, that sign the other sides' certificates")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time that each host has to answer")
	fromEnvironment(flags, "store", "operators", "secret", "secret-file", "authority", "timeout")
}

// open reads what the settings name.
func (c *connection) open() error {
	if c.secretFile != "" {
		data, err := os.ReadFile(c.secretFile)
		if err != nil {
			return errors.Wrap(err, "read secret")
		}
		c.secret = strings.TrimSpace(string(data))
	}
	client, err := (&fleet.File{Authority: c.authority}).Client(0)
	if err != nil {
		return err
	}
	c.transport = client.Transport
	return nil
}

func (c *connection) log() (platform.Log, error) {
	if c.store == "" {
		return nil, errors.Wrap(ErrUsage, "--store is needed")
	}
	return platform.NewStoreLog(c.platformStore()), nil
}

func (c *connection) platformStore() *platform.Store {
	return platform.NewStore(c.store, platform.StoreOptions{Transport: c.transport, Timeout: platformTimeout})
}

// hosts returns the live hosts of the system: those given, else those listed.
func (c *connection) hosts(ctx context.Context) ([]platform.Host, error) {
	if len(c.operators) > 0 {
		return c.givenHosts(), nil
	}
	if c.store == "" {
		return nil, errors.Wrap(ErrUsage, "--store or --operators is needed")
	}
	list, err := peers.NewList(c.platformStore()).Hosts(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	var out []platform.Host
	for _, h := range list {
		if h.Role == platform.RoleSystem && h.State == platform.HostLive {
			out = append(out, h)
		}
	}
	return out, nil
}

func (c *connection) givenHosts() []platform.Host {
	out := make([]platform.Host, 0, len(c.operators))
	for _, url := range c.operators {
		out = append(out, platform.Host{Name: url, OperatorAddress: url})
	}
	return out
}

func (c *connection) operator(h *platform.Host) *httpjson.Client {
	client := &http.Client{Timeout: c.timeout, Transport: c.transport}
	return httpjson.NewClient(h.OperatorAddress, client).WithSecret(c.secret)
}
