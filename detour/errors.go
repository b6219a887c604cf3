package detour

import "github.com/pkg/errors"

// errNoHelper means that no other host made a call, and that none of them tried.
var errNoHelper = errors.New("no other host made the call")
