package entry

import (
	"fmt"

	"github.com/peridotmount/peridotmount/ledger"
)

// Bounds of the metadata of a batch.
const (
	maxMetadataPairs = 16
	maxMetadataKey   = 64
	maxMetadataValue = 512
)

func checkMetadata(m ledger.Metadata) error {
	if len(m) > maxMetadataPairs {
		return invalid("metadata", fmt.Sprintf("metadata has at most %d pairs", maxMetadataPairs))
	}
	for key, value := range m {
		if key == "" || len(key) > maxMetadataKey || len(value) > maxMetadataValue {
			return invalid("metadata", fmt.Sprintf("a key has 1 to %d bytes, a value at most %d", maxMetadataKey, maxMetadataValue))
		}
	}
	return nil
}
