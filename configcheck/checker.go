package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/peridotmount/peridotmount/route"
)

// checker collects the findings about a configuration.
type checker struct {
	config   *route.Configuration
	findings []route.Finding
}

// Check returns what is wrong with a configuration, the gravest first. decoded are the
// findings of its decoder.
func Check(c *route.Configuration, decoded []route.Finding) []route.Finding {
	k := &checker{config: c, findings: slices.Clone(decoded)}
	k.routes()
	k.services()
	k.workspaces()
	k.limits()
	Sort(k.findings)
	return k.findings
}

// Sort orders findings by severity, then by the order in which they were found.
func Sort(findings []route.Finding) {
	slices.SortStableFunc(findings, func(a, b route.Finding) int {
		return a.Severity.Rank() - b.Severity.Rank()
	})
}

func (k *checker) add(severity route.Severity, place, field, format string, args ...any) {
	k.findings = append(k.findings, route.Finding{Severity: severity, Place: place, Field: field, Text: fmt.Sprintf(format, args...)})
}

// negative finds fields whose values are below zero.
func (k *checker) negative(place string, fields ...field) {
	for _, f := range fields {
		if strings.HasPrefix(f.value, "-") {
			k.add(route.Error, place, f.name, "%s is negative", f.value)
		}
	}
}
