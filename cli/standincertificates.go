package cli

import (
	"net"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/standin"
)

// secretMode keeps a file from everyone but its owner.
const secretMode = 0o600

// newStandinCertificates returns the command that makes test certificates.
func newStandinCertificates() *cobra.Command {
	return &cobra.Command{
		Use:   "certificates DIR",
		Short: "Write a test authority, and a certificate for 127.0.0.1 that it signed",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return writeCertificates(args[0])
		},
	}
}

func writeCertificates(dir string) error {
	authority, err := standin.NewAuthority()
	if err != nil {
		return err
	}
	issued, err := authority.Issue(net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{
		"authority.pem": authority.PEM,
		"chain.pem":     issued.Certificate,
		"key.pem":       issued.Key,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), data, secretMode); err != nil {
			return errors.Wrap(err, "write certificates")
		}
	}
	return nil
}
