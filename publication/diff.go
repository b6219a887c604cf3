package publication

import "github.com/peridotmount/peridotmount/objects"

// Diff returns the change that turns the objects of base into wanted.
func Diff(base Revision, wanted []objects.Object) Change {
	c := Change{Base: base.Number}
	old := make(map[objects.Ref]*objects.Object, len(base.Objects))
	for i := range base.Objects {
		old[base.Objects[i].Ref] = &base.Objects[i]
	}
	for i := range wanted {
		w := &wanted[i]
		if o := old[w.Ref]; o == nil || !o.Equal(w) {
			c.Put = append(c.Put, *w)
		}
		delete(old, w.Ref)
	}
	for i := range base.Objects {
		ref := base.Objects[i].Ref
		if old[ref] != nil {
			c.Delete = append(c.Delete, ref)
		}
	}
	return c
}
