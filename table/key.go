package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

// keyPrefix is the start of the text form of a key hash.
const keyPrefix = "sha256:"

// KeyHash is the SHA-256 hash of a customer's secret. Secrets are random
// 256-bit values, so an unsalted hash can't be reversed by guessing. The table
// and the log hold only hashes, no secrets.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a secret in the form that clients send.
func HashKey(secret string) KeyHash {
	return sha256.Sum256([]byte(secret))
}

// ParseKeyHash parses the form sha256:<64 lower-case hexadecimal digits>.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	return h, h.UnmarshalText([]byte(text))
}

// Compare orders hashes by their bytes.
func (h KeyHash) Compare(other KeyHash) int { return bytes.Compare(h[:], other[:]) }

// String returns the full text form.
func (h KeyHash) String() string { return keyPrefix + hex.EncodeToString(h[:]) }

// MarshalText returns the full text form.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the form that ParseKeyHash accepts. Its errors don't
// contain the text, because an operator may have pasted the secret itself.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digits, found := strings.CutPrefix(string(text), keyPrefix)
	if !found {
		return eris.New("key must have the form sha256:<hex>; `mimosakeel keys new` prints it")
	}
	if len(digits) != 2*len(h) || strings.ToLower(digits) != digits {
		return eris.Errorf("key hash must have %d lower-case hexadecimal digits", 2*len(h))
	}
	decoded, err := hex.DecodeString(digits)
	if err != nil {
		return eris.New("key hash contains a character that is not a hexadecimal digit")
	}
	copy(h[:], decoded)
	return nil
}

// MarshalBinary returns the 32 bytes of the hash.
func (h KeyHash) MarshalBinary() ([]byte, error) { return h[:], nil }

// UnmarshalBinary sets the hash from its 32 bytes.
func (h *KeyHash) UnmarshalBinary(data []byte) error {
	if len(data) != len(h) {
		return eris.Errorf("key hash has %d bytes instead of %d", len(data), len(h))
	}
	copy(h[:], data)
	return nil
}
