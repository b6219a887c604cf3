package blame

// Key names a property of a request that other requests may share.
type Key string

// Prefixes of keys.
const (
	partPrefix    = "part:"
	requestPrefix = "request:"
)

// PartKey returns the key of a part of a prompt.
func PartKey(part string) Key {
	return Key(partPrefix + part)
}

// KeysOf returns the keys of a request: its fingerprint, which is the same for all
// retries of it, and the parts of its prompt that other requests may share. An empty
// fingerprint has no key.
func KeysOf(fingerprint string, sharedParts []string) []Key {
	keys := make([]Key, 0, 1+len(sharedParts))
	if fingerprint != "" {
		keys = append(keys, Key(requestPrefix+fingerprint))
	}
	for _, part := range sharedParts {
		keys = append(keys, PartKey(part))
	}
	return keys
}
