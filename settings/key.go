package settings

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/inifile"
)

// Key describes one setting.
type Key struct {
	// Name is section.key.
	Name string
	// Accepts tells what the value may be.
	Accepts string
	// Default is the value of a key that is left out.
	Default string
}

// Keys returns every setting there is, in the order in which they are read.
var Keys = sync.OnceValue(func() []Key {
	r := &reader{keys: make(map[string]inifile.Key)}
	_ = r.settings()
	return r.asked
})

// GatewayKeys returns every setting of a host that serves routes, in the order in
// which they are read.
var GatewayKeys = sync.OnceValue(func() []Key {
	r := &reader{keys: make(map[string]inifile.Key)}
	_ = r.gateway()
	return r.asked
})

// WriteReference writes a page that describes every setting, or returns the
// writer's error.
func WriteReference(w io.Writer) error {
	if _, err := fmt.Fprint(w, referenceHead); err != nil {
		return errors.Wrap(err, "write reference")
	}
	if err := writeKeys(w, Keys()); err != nil {
		return err
	}
	if _, err := fmt.Fprint(w, gatewayReferenceHead); err != nil {
		return errors.Wrap(err, "write reference")
	}
	return writeKeys(w, GatewayKeys())
}

func writeKeys(w io.Writer, keys []Key) error {
	for _, k := range keys {
		otherwise := "none"
		if k.Default != "" {
			otherwise = "`" + k.Default + "`"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", k.Name, k.Accepts, otherwise); err != nil {
			return errors.Wrap(err, "write reference")
		}
	}
	return nil
}

const (
	keysHead      = "| key | accepts | default |\n| --- | --- | --- |\n"
	referenceHead = "# Settings\n\n" +
		"Written by `make docs`. The environment overrides the file\n" +
		"(`PERIDOTMOUNT_LEDGER_POLL` stands for `ledger.poll`), and\n" +
		"`--set ledger.poll=50ms` overrides both. `--check-settings` names every fault\n" +
		"at once.\n\n" +
		"## peridotmountd\n\n" +
		"The keys are explained in `examples/settings/peridotmountd.ini`.\n\n" + keysHead
	gatewayReferenceHead = "\n## peridotmountd routes\n\n" +
		"The keys are explained in `examples/settings/routes.ini`. On SIGHUP, or when the\n" +
		"file changes, `host.log_level` and `jobs.status_kept` take effect; the others\n" +
		"need a new start.\n\n" + keysHead
)
