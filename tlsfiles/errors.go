package tlsfiles

import "github.com/pkg/errors"

// ErrFiles means that files can't be read or hold no valid certificates.
var ErrFiles = errors.New("certificate files are not valid")
