package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	fleetfile "github.com/peridotmount/peridotmount/fleet"
)

// TestCertificatesAreRenewedInAFleet moves a running fleet to another
// authority, in the order that docs/OPERATIONS.md gives.
func TestCertificatesAreRenewedInAFleet(t *testing.T) {
	f := newLocalFleet(t, "--tls", "--hosts", "3", "--engines", "2", "--plain", "1", "--daemon-flags", "--set tls.reload=100ms")
	file := filepath.Join(f.dir, "fleet.json")
	next := t.TempDir()
	runCommand(t, "peridotmount-standin", "certificates", next)
	current := filepath.Join(f.dir, "tls")
	oldAuthority := readFile(t, filepath.Join(current, "authority.pem"))
	newAuthority := readFile(t, filepath.Join(next, "authority.pem"))
	replace(t, filepath.Join(current, "authority.pem"), append(append([]byte{}, oldAuthority...), newAuthority...))
	runCommand(t, "peridotmount-standin", "demo", file)
	for _, name := range []string{"chain.pem", "key.pem"} {
		replace(t, filepath.Join(current, name), readFile(t, filepath.Join(next, name)))
	}
	replace(t, filepath.Join(current, "authority.pem"), newAuthority)
	// The tool trusts the new authority alone: it works once every listener
	// shows its new certificate.
	eventually(t, "new certificates everywhere", func() bool {
		return exec.Command(filepath.Join(binaries, "peridotmount-standin"), "ready", "--serving", file).Run() == nil
	})
	runCommand(t, "peridotmount-standin", "demo", file)
	for _, p := range f.read().Role(fleetfile.RoleSystem) {
		f.expect(p.Name, "running")
	}
}

// runCommand runs a built command, which has to succeed.
func runCommand(t *testing.T, command string, args ...string) {
	t.Helper()
	if out, err := exec.Command(filepath.Join(binaries, command), args...).CombinedOutput(); err != nil {
		t.Fatalf("%s %v: %v\n%s", command, args, err, out)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// replace writes a file in the place of another, whole.
func replace(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
