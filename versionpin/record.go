// Package versionpin remembers the software version of the servers that began streams,
// so that any daemon, also one that has just started, can let a stream go on at its
// version only.
//
// It keeps two topics in the platform's store. The topic of versions lists the versions
// of each service. No stream begins at a version that it does not list, so that a
// service with one listed version needs nothing else. While several are listed, the
// topic of streams holds the version of each stream, written in batches.
package versionpin

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Version is a version of the software of the servers of a service.
type Version struct {
	Service, Name string
}

// state is the state of a version in the topic of versions.
type state string

const (
	// stateServing marks a version at which streams may begin.
	stateServing state = "serving"
	// stateRetiring marks a version without servers, which is removed if no daemon
	// objects. It still counts as listed.
	stateRetiring state = "retiring"
)

// versionRecord is the value of a version in the topic of versions.
type versionRecord struct {
	Service string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	State   state  `cbor:"3,keyasint"`
}

const (
	versionPrefix = "version/"
	// keyHashBytes is the length of the hash in the key of a version. Keys of the store
	// are too short for arbitrary names.
	keyHashBytes = 16
	// completeKey is the key of the history in which the topic of versions is known to
	// be complete. A store that continues from an older copy may lack versions.
	completeKey = "complete"
)

// versionKey returns the key of a version in the topic of versions.
func versionKey(v Version) string {
	sum := sha256.Sum256([]byte(v.Service + "\x00" + v.Name))
	return versionPrefix + hex.EncodeToString(sum[:keyHashBytes])
}

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // Strings and integers can always be encoded.
	}
	return data
}

// versionPut returns the record that puts a version into a state.
func versionPut(v Version, s state) hosting.KeyedRecord {
	return hosting.KeyedRecord{Key: versionKey(v), Value: encode(versionRecord{Service: v.Service, Name: v.Name, State: s})}
}

// streamBatch holds streams that a daemon has begun, in a record of the topic of
// streams. Its key is the daemon's VM.
type streamBatch struct {
	Groups []streamGroup `cbor:"1,keyasint"`
}

// streamGroup holds the requests whose streams began at one version.
type streamGroup struct {
	Service  string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Requests []string `cbor:"3,keyasint"`
}

func decodeBatch(data []byte) (streamBatch, error) {
	var b streamBatch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return streamBatch{}, eris.Wrap(err, "decode batch of streams")
	}
	return b, nil
}
