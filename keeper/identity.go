package keeper

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Prefixes of the ids in the public API.
const (
	filePrefix    = "file-"
	jobPrefix     = "batch_"
	requestPrefix = "req_"
)

// idBytes is the number of hash bytes in an id.
const idBytes = 12

// PartitionOf returns the partition that stores the job or keyed request with
// this name of a customer.
func PartitionOf(customer, name string, partitions int) int {
	return int(xxhash.Sum64String(customer+"\x00"+name) % uint64(partitions))
}

// FileID returns the id of a new file in a partition; nonce makes it unique.
func FileID(partition int, nonce string) string {
	return fmt.Sprintf("%s%02d-%s", filePrefix, partition, nonce)
}

// JobID returns the id of a customer's job, derived from its name.
func JobID(customer, name string, partitions int) string {
	return derivedID(jobPrefix, customer, name, partitions)
}

// RequestID returns the id of a customer's keyed request, derived from its
// idempotency key.
func RequestID(customer, key string, partitions int) string {
	return derivedID(requestPrefix, customer, key, partitions)
}

func derivedID(prefix, customer, name string, partitions int) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + name))
	return fmt.Sprintf("%s%02d-%s", prefix, PartitionOf(customer, name, partitions), hex.EncodeToString(sum[:idBytes]))
}

// PartitionOfID returns the partition number contained in an id.
func PartitionOfID(id string, partitions int) (int, error) {
	for _, prefix := range []string{filePrefix, jobPrefix, requestPrefix} {
		rest, found := strings.CutPrefix(id, prefix)
		if !found {
			continue
		}
		number, _, _ := strings.Cut(rest, "-")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= partitions {
			return 0, errors.Wrapf(ErrNotFound, "id %q", id)
		}
		return n, nil
	}
	return 0, errors.Wrapf(ErrNotFound, "id %q", id)
}

// StreamOf returns the name of a partition's log stream.
func StreamOf(partition int) string {
	return fmt.Sprintf("partition-%02d", partition)
}
