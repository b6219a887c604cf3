package ledger

// getOrCreateFile returns the file with the given ID, adding an empty one if there is
// none.
func (s *State) getOrCreateFile(id string) *File {
	f := s.files[id]
	if f == nil {
		f = &File{}
		s.files[id] = f
	}
	return f
}

func (s *State) applyFileChunk(at Place, c *FileChunk) {
	f := s.getOrCreateFile(c.File)
	if f.Committed || c.Index != len(f.Places) {
		return
	}
	f.Places = append(f.Places, at)
	f.changedMillis = s.Now
}

func (s *State) applyFileCommit(c *FileCommit) {
	f := s.getOrCreateFile(c.File)
	if f.Committed || c.Chunks != len(f.Places) {
		return
	}
	f.FileCommit = *c
	f.Committed = true
	f.changedMillis = s.Now
}
