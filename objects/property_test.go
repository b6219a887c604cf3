package objects

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	propertySeed = 7
	propertyRuns = 3000
)

// randomSet returns a small random set of objects. It uses few names, so that many
// references resolve and many do not.
func randomSet(seed int64) []Object {
	r := rand.New(rand.NewPCG(uint64(seed), propertySeed))
	name := func() string { return string(rune('a' + r.IntN(3))) }
	models := []string{"a", "a", "a", "b"}
	model := func() string { return models[r.IntN(len(models))] }
	list := []Object{object(KindModel, "a")}
	for range 1 + r.IntN(7) {
		switch r.IntN(6) {
		case 0:
			list = append(list, object(KindModel, name()))
		case 1:
			list = append(list, object(KindVersion, name(), "model", model()))
		case 2:
			list = append(list, object(KindAdapter, name(), "model", model()))
		case 3:
			list = append(list, object(KindService, name(), "kind", "model", "model", model(), "version", name(), "adapters", name()))
		case 4:
			list = append(list, object(KindService, name(), "kind", "plain", "fallback", name()))
		default:
			hash := fmt.Sprintf("%064x", r.IntN(3))
			list = append(list, object(KindCustomer, name(), "key_sha256", hash, "services", name()))
		}
		if r.IntN(2) == 0 {
			list = append(list, object(KindService, name(), "kind", "plain"))
		}
	}
	return list
}

func object(kind Kind, name string, fields ...string) Object {
	o := Object{Ref: Ref{Kind: kind, Name: name}}
	for i := 0; i < len(fields); i += 2 {
		o.Fields = append(o.Fields, Field{Name: fields[i], Value: fields[i+1]})
	}
	return o
}

// danglingReference returns a reference to an object that is not in the list, or "". It
// uses only the fields as written, independently of Compile.
func danglingReference(list []Object) string {
	defined := make(map[Ref]bool)
	for _, o := range list {
		defined[o.Ref] = true
	}
	kinds := map[string]Kind{
		"model": KindModel, "version": KindVersion, "adapters": KindAdapter, "fallback": KindService, "services": KindService,
	}
	for _, o := range list {
		for _, f := range o.Fields {
			kind, isReference := kinds[f.Name]
			if !isReference {
				continue
			}
			for _, name := range strings.Split(f.Value, ",") {
				ref := Ref{Kind: kind, Name: strings.TrimSpace(name)}
				if !defined[ref] {
					return o.String() + " -> " + ref.String()
				}
			}
		}
	}
	return ""
}

func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	return gopter.NewProperties(parameters)
}

func TestCompileProperties(t *testing.T) {
	accepted := 0
	p := properties()
	p.Property("no accepted set contains a dangling reference", prop.ForAll(func(seed int64) string {
		list := randomSet(seed)
		if _, err := Compile(list); err != nil {
			return ""
		}
		accepted++
		return danglingReference(list)
	}, gen.Int64()))
	p.Property("the order of objects does not matter", prop.ForAll(func(seed int64) bool {
		list := randomSet(seed)
		_, before := Compile(list)
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		_, after := Compile(list)
		return (before == nil) == (after == nil)
	}, gen.Int64()))
	p.TestingRun(t)
	if accepted < propertyRuns/50 {
		t.Errorf("only %d sets were accepted: too few for the property to be meaningful", accepted)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("[service a]\nkind = plain\nfallback = a\n"))
	f.Add([]byte("[customer c]\nkey_sha256 = ,\nservices = ,,\n"))
	f.Add([]byte("[model  x ]\ncontext_tokens = 99999999999999999999\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Parse("set.ini", data)
		if err != nil {
			if !strings.Contains(err.Error(), "set.ini:") {
				t.Errorf("error %q has no position", err)
			}
			return
		}
		set, err := Compile(list)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "set.ini:") {
				t.Errorf("fault %q has no position", err)
			}
			return
		}
		// A field with an empty value refers to nothing; its reference ends with a blank.
		if found := danglingReference(list); found != "" && !strings.HasSuffix(found, " ") {
			t.Errorf("accepted a set with dangling reference %s", found)
		}
		if len(set.Models)+len(set.Versions)+len(set.Adapters)+len(set.Services)+len(set.Customers) != len(list) {
			t.Errorf("the compiled set does not have %d objects", len(list))
		}
	})
}
