package detour

import "github.com/pkg/errors"

// errUnlisted means that the record of an endpoint was removed.
var errUnlisted = errors.New("endpoint is not listed any more")

// errNoHelper means that no other host made a call, and that none of them tried.
var errNoHelper = errors.New("no other host made the call")
