package objects

// Compile validates a complete set of objects and indexes it. The error is a Faults
// with every fault found.
func Compile(list []Object) (*Set, error) {
	c := &compiler{set: newSet(), definitions: make(map[Ref]*Object, len(list))}
	for i := range list {
		c.add(&list[i])
	}
	for i := range list {
		c.checkReferences(&list[i])
	}
	c.checkFallbackCycles(list)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return c.set, nil
}

type compiler struct {
	set         *Set
	definitions map[Ref]*Object
	faults      Faults
}

func (c *compiler) addFault(o *Object, field, reason string) {
	c.faults = append(c.faults, Fault{Position: o.fieldPosition(field), Object: o.Ref, Reason: reason})
}

func (c *compiler) add(o *Object) {
	if first, found := c.definitions[o.Ref]; found {
		c.addFault(o, "", "defined before at "+first.Position.String())
		return
	}
	if !validName(o.Name) {
		c.addFault(o, "", "a name has 1 to 64 letters, digits, `-`, `_` or `.`")
		return
	}
	c.definitions[o.Ref] = o
	c.index(o)
}

func (c *compiler) index(o *Object) {
	r := newFieldReader(c, o)
	switch o.Kind {
	case KindModel:
		c.set.Models[o.Name] = readModel(r)
	case KindVersion:
		c.set.Versions[o.Name] = readVersion(r)
	case KindAdapter:
		c.set.Adapters[o.Name] = readAdapter(r)
	case KindService:
		c.set.Services[o.Name] = readService(r)
	case KindCustomer:
		c.addCustomer(o, readCustomer(r))
	default:
		c.addFault(o, "", "unknown kind of object "+string(o.Kind))
		return
	}
	r.rejectUnread()
}

func (c *compiler) addCustomer(o *Object, customer *Customer) {
	c.set.Customers[o.Name] = customer
	for _, hash := range customer.KeyHashes {
		if other, found := c.set.byKeyHash[hash]; found {
			c.addFault(o, "key_sha256", "key is held by customer "+other.Name+" too")
			continue
		}
		c.set.byKeyHash[hash] = customer
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

const maxNameBytes = 64

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '-' || r == '_' || r == '.'
	}
}
