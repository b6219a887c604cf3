// Package rawhttp has stand-ins for endpoints that write their answers byte for byte, and the
// forms that an answer may have. Tests cut answers at each of their bytes with it.
package rawhttp
