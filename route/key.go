package route

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a key. Keys are compared by their hashes, so that the
// time of a comparison tells nothing about a key, and no key is kept in memory.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}
