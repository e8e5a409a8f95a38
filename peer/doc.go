// Package peer implements the wire formats and the security of the communication
// between instances: heartbeat datagrams with replay protection, request frames,
// shared secrets, and TLS certificates.
//
// A datagram is a version byte, a truncated HMAC-SHA256 of 16 bytes, and a CBOR
// body. A request is one QUIC stream. The caller sends a CBOR frame with the
// method, the time left until its deadline and the body; the other side replies
// with a response frame.
//
// The package makes no membership decisions; the state machines are in package
// policy.
package peer
