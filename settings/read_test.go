package settings

import (
	"strings"
	"testing"
	"time"
)

const valid = `[host]
name = a
zone = z
region = r
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
secret = s
[platform]
store = 127.0.0.1:1
`

func TestParseDefaults(t *testing.T) {
	s, err := Parse("d.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Ledger.Partitions != 16 || s.Ledger.LeaseTTL != 3*time.Second {
		t.Errorf("defaults: %+v", s)
	}
}

func TestParseNamesEveryFault(t *testing.T) {
	text := strings.Replace(valid, "zone = z\n", "", 1) + "[ledger]\npartitions = many\npoll = 5\ncolour = red\n"
	_, err := Parse("d.ini", []byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{
		"host.zone is missing",
		"d.ini:12: ledger.partitions",
		"d.ini:13: ledger.poll",
		"d.ini:14: unknown key ledger.colour",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in:\n%s", want, err)
		}
	}
}

func TestLeaseMarginHasToFitTTL(t *testing.T) {
	_, err := Parse("d.ini", []byte(valid+"[ledger]\nlease_ttl = 1s\nlease_margin = 500ms\n"))
	if err == nil || !strings.Contains(err.Error(), "ledger.lease_margin") {
		t.Errorf("error %v", err)
	}
}
