// Package peer holds what instances use to talk to each other: the datagrams
// of the heartbeats, the frames of requests, the shared secrets and replay
// protection of both, and the certificates of requests.
//
// A datagram is a version byte, a truncated HMAC-SHA256 of 16 bytes, and a
// CBOR body. A request is one QUIC stream: a CBOR frame with the method, the
// time that is left and the body one way, and a frame with the answer back.
//
// Nothing in this package decides; the state machines are in package policy.
package peer
