package objects

import (
	"fmt"
	"strings"
)

// checkReferences reports the references of an object that do not resolve. It skips
// duplicates and objects with an invalid name, which add has rejected.
func (c *compiler) checkReferences(o *Object) {
	if c.definitions[o.Ref] != o {
		return
	}
	switch o.Kind {
	case KindVersion:
		c.requireModel(o, c.set.Versions[o.Name].Model)
	case KindAdapter:
		c.requireModel(o, c.set.Adapters[o.Name].Model)
	case KindService:
		c.checkService(o, c.set.Services[o.Name])
	case KindCustomer:
		c.checkCustomer(o, c.set.Customers[o.Name])
	case KindModel:
	}
}

func (c *compiler) requireModel(o *Object, name string) {
	if name != "" && c.set.Models[name] == nil {
		c.addFault(o, "model", "no such model: "+name)
	}
}

func (c *compiler) checkService(o *Object, s *Service) {
	if s.Fallback != "" {
		c.checkFallback(o, s)
	}
	if s.Kind != ServiceModel {
		return
	}
	c.requireModel(o, s.Model)
	c.checkServiceVersion(o, s)
	c.checkContext(o, s)
	for _, name := range s.Adapters {
		c.checkServiceAdapter(o, s, name)
	}
}

func (c *compiler) checkFallback(o *Object, s *Service) {
	other := c.set.Services[s.Fallback]
	if other == nil {
		c.addFault(o, "fallback", "no such service: "+s.Fallback)
		return
	}
	if other.Kind != s.Kind {
		c.addFault(o, "fallback", "fallback "+s.Fallback+" is of another kind")
	}
}

// checkContext rejects a max_tokens that leaves no room for a prompt in the model's
// context.
func (c *compiler) checkContext(o *Object, s *Service) {
	m := c.set.Models[s.Model]
	if m != nil && s.MaxTokens >= m.ContextTokens {
		c.addFault(o, "max_tokens", fmt.Sprintf("an answer of %d tokens leaves no room for a prompt in the %d tokens of model %s", s.MaxTokens, m.ContextTokens, m.Name))
	}
}

func (c *compiler) checkServiceVersion(o *Object, s *Service) {
	if s.Version == "" {
		return
	}
	v := c.set.Versions[s.Version]
	if v == nil {
		c.addFault(o, "version", "no such version: "+s.Version)
		return
	}
	if v.Model != s.Model {
		c.addFault(o, "version", "version "+v.Name+" belongs to model "+v.Model)
	}
}

func (c *compiler) checkServiceAdapter(o *Object, s *Service, name string) {
	a := c.set.Adapters[name]
	if a == nil {
		c.addFault(o, "adapters", "no such adapter: "+name)
		return
	}
	if a.Model != s.Model {
		c.addFault(o, "adapters", "adapter "+name+" belongs to model "+a.Model)
	}
}

func (c *compiler) checkCustomer(o *Object, customer *Customer) {
	for _, name := range customer.Services {
		if c.set.Services[name] == nil {
			c.addFault(o, "services", "no such service: "+name)
		}
	}
}

// checkFallbackCycles reports a fault for each service whose chain of fallbacks leads
// back to the service itself.
func (c *compiler) checkFallbackCycles(list []Object) {
	for i := range list {
		o := &list[i]
		if o.Kind != KindService || c.definitions[o.Ref] != o {
			continue
		}
		if chain := c.fallbackCycle(o.Name); chain != nil {
			c.addFault(o, "fallback", "circular fallback: "+strings.Join(chain, " -> "))
		}
	}
}

func (c *compiler) fallbackCycle(start string) []string {
	chain := []string{start}
	name := start
	for len(chain) <= len(c.set.Services) {
		s := c.set.Services[name]
		if s == nil || s.Fallback == "" {
			return nil
		}
		name = s.Fallback
		chain = append(chain, name)
		if name == start {
			return chain
		}
	}
	return nil
}
