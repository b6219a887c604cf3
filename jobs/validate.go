package jobs

import "github.com/pkg/errors"

// MaxItemTokens bounds the tokens of an item, so that no sum of them overflows.
const MaxItemTokens = 1 << 40

// maxRecordBytes is the maximum content of a record of the store, in bytes.
const maxRecordBytes = 256 << 10

// validate returns ErrMalformed if a number in the record can't be what it says.
func (r *Record) validate() error {
	if r.Submit != nil {
		if err := r.Submit.validate(); err != nil {
			return err
		}
	}
	if r.Result != nil {
		if err := r.Result.Output.validate(); err != nil {
			return err
		}
	}
	if r.Partial != nil {
		if r.Partial.Events < 0 {
			return errors.Wrapf(ErrMalformed, "checkpoint of %d events", r.Partial.Events)
		}
		return r.Partial.Output.validate()
	}
	return nil
}

func (s *Submission) validate() error {
	sum := int64(0)
	for i := range s.Items {
		tokens := s.Items[i].Tokens
		if tokens < 0 || tokens > MaxItemTokens {
			return errors.Wrapf(ErrMalformed, "item %d has %d tokens", i, tokens)
		}
		sum += tokens
		if err := s.Items[i].validatePrefix(); err != nil {
			return errors.Wrapf(err, "item %d", i)
		}
	}
	if s.Tokens != sum {
		return errors.Wrapf(ErrMalformed, "job of %d tokens, its items have %d", s.Tokens, sum)
	}
	for i := range s.Inputs {
		in := &s.Inputs[i]
		if in.First < 0 || in.Count < 0 || in.First > len(s.Items) || in.Count > len(s.Items)-in.First {
			return errors.Wrapf(ErrMalformed, "input of %d items from %d on, the job has %d", in.Count, in.First, len(s.Items))
		}
		if err := in.Blob.validate(); err != nil {
			return err
		}
	}
	return nil
}

// validatePrefix returns ErrMalformed unless each part of the prompt has its tokens, or none has.
func (m *ItemMeta) validatePrefix() error {
	if n := len(m.PrefixTokens); n != 0 && n != len(m.Prefix) {
		return errors.Wrapf(ErrMalformed, "tokens of %d parts of %d", n, len(m.Prefix))
	}
	for _, tokens := range m.PrefixTokens {
		if tokens < 0 {
			return errors.Wrapf(ErrMalformed, "part of %d tokens", tokens)
		}
	}
	return nil
}

func (b *Blob) validate() error {
	records := 0
	for i := range b.Segments {
		s := &b.Segments[i]
		if s.Offset < 0 || len(s.Keys) == 0 {
			return errors.Wrapf(ErrMalformed, "payload segment of %d records at %d", len(s.Keys), s.Offset)
		}
		records += len(s.Keys)
	}
	if b.Bytes < 0 || b.Bytes > records*maxRecordBytes {
		return errors.Wrapf(ErrMalformed, "payload of %d bytes in %d records", b.Bytes, records)
	}
	return nil
}
