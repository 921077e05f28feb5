// Package peer carries messages between daemons over QUIC with mutual TLS.
//
// One-way messages to a peer share one ordered stream. Each call uses a separate
// stream, so that a slow reply or a bulk transfer delays no grant. The transport
// reads only the kind of a message; package daemon defines the messages.
package peer
