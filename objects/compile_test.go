package objects

import (
	"strings"
	"testing"
)

const validSet = `
[model towel]
[version towel-3]
model = towel
[adapter bridal]
model = towel
[service towel-writer]
kind = model
model = towel
version = towel-3
adapters = bridal
[customer shop]
key_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
services = towel-writer
`

const someHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func compileText(t *testing.T, text string) (*Set, error) {
	t.Helper()
	list, err := Parse("set.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return Compile(list)
}

func TestCompileValid(t *testing.T) {
	set, err := compileText(t, validSet)
	if err != nil {
		t.Fatal(err)
	}
	if set.Services["towel-writer"].MaxTokens != defaultResponseTokens {
		t.Error("the default of max_tokens was not applied")
	}
}

func TestCompileFaults(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"dangling model", "[version v]\nmodel = none\n", "set.ini:2: [version v]: no such model: none"},
		{"duplicate", "[model m]\n[model m]\n", "set.ini:2: [model m]: defined before at set.ini:1"},
		{"unknown key", "[model m]\ncolour = red\n", "set.ini:2: [model m]: unknown key colour"},
		{"unknown kind", "[towel m]\n", "set.ini:1: [towel m]: unknown kind of object towel"},
		{"range", "[model m]\ncontext_tokens = 0\n", "set.ini:2: [model m]: context_tokens = 0 is not"},
		{
			"replicas",
			"[service s]\nkind = plain\nreplicas = 0\n",
			"set.ini:3: [service s]: replicas = 0 is not a whole number from 1 to",
		},
		{
			"zones",
			"[service s]\nkind = plain\nzones = sk west, b\n",
			"set.ini:3: [service s]: sk west is not the name of an availability zone",
		},
		{"empty zone", "[service s]\nkind = plain\nzones = a,,b\n", "set.ini:3: [service s]: zones holds an empty entry"},
		{
			"plain with a model's key",
			"[model m]\n[service s]\nkind = plain\nmodel = m\n",
			"set.ini:4: [service s]: unknown key model",
		},
		{"kind", "[service s]\nkind = robot\n", "set.ini:2: [service s]: kind is neither model nor plain"},
		{
			"no room for a prompt",
			"[model m]\ncontext_tokens = 10\n[version v]\nmodel = m\n" +
				"[service s]\nkind = model\nmodel = m\nversion = v\nmax_tokens = 10\n",
			"set.ini:9: [service s]: an answer of 10 tokens leaves no room",
		},
		{
			"version of another model",
			"[model a]\n[model b]\n[version v]\nmodel = b\n[service s]\nkind = model\nmodel = a\nversion = v\n",
			"set.ini:8: [service s]: version v belongs to model b",
		},
		{"dangling fallback", "[service s]\nkind = plain\nfallback = x\n", "set.ini:3: [service s]: no such service: x"},
		{"fallback to itself", "[service s]\nkind = plain\nfallback = s\n", "set.ini:3: [service s]: circular fallback: s -> s"},
		{
			"service twice",
			"[service s]\nkind = plain\n[customer c]\nkey_sha256 = " + someHash + "\nservices = s, s\n",
			"set.ini:5: [customer c]: services holds s twice",
		},
		{
			"dangling service",
			"[customer c]\nkey_sha256 = " + someHash + "\nservices = x\n",
			"set.ini:3: [customer c]: no such service: x",
		},
		{
			"key of two customers",
			"[service s]\nkind = plain\n[customer c]\nkey_sha256 = " + someHash + "\nservices = s\n" +
				"[customer d]\nkey_sha256 = " + someHash + "\nservices = s\n",
			"set.ini:7: [customer d]: key is held by customer c too",
		},
		{
			"limit",
			"[service s]\nkind = plain\n[customer c]\nkey_sha256 = " + someHash + "\nservices = s\nrequests_per_second = -1\n",
			"set.ini:6: [customer c]: requests_per_second = -1 is not",
		},
		{"key not a hash", "[customer c]\nkey_sha256 = secret\n", "set.ini:2: [customer c]: key_sha256 is not a SHA-256"},
		{"class", "[customer c]\nclasses = rush\n", "set.ini:2: [customer c]: unknown class rush"},
		{"name", "[model a b]\n", "set.ini:1: [model a b]: a name has"},
		{"given twice", "[model m]\ncontext_tokens = 9\ncontext_tokens = 8\n", "[model m]: context_tokens is given twice"},
		{
			"wrong adapter",
			"[model a]\n[model b]\n[version v]\nmodel = a\n[adapter x]\nmodel = b\n" +
				"[service s]\nkind = model\nmodel = a\nversion = v\nadapters = x\n",
			"set.ini:11: [service s]: adapter x belongs to model b",
		},
		{
			"cycle",
			"[service a]\nkind = plain\nfallback = b\n[service b]\nkind = plain\nfallback = a\n",
			"set.ini:3: [service a]: circular fallback: a -> b -> a",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := compileText(t, c.text)
			if err == nil {
				t.Fatal("accepted")
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
}
