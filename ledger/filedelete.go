package ledger

import "sort"

// FileDelete deletes a committed file of a customer.
type FileDelete struct {
	File     string `json:"file"`
	Customer string `json:"customer"`
}

func (s *State) applyFileDelete(d *FileDelete) {
	f := s.files[d.File]
	if f != nil && f.Committed && f.Customer == d.Customer {
		delete(s.files, d.File)
	}
}

// Files returns the committed files of a customer, sorted by ID.
func (s *State) Files(customer string) []*File {
	var out []*File
	for _, f := range s.files {
		if f.Committed && f.Customer == customer {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].File < out[k].File })
	return out
}
