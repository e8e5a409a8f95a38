package peer

import "github.com/savoryfold/savoryfold/policy"

// Sizes in bytes that the packer plans with.
const (
	// baseSize covers the prefix, the header and the own record.
	baseSize      = prefixSize + 200 + 4*MaxNameLength
	recordSize    = 60
	summarySize   = 44
	digestSlack   = 24
	packLimit     = MaxDatagramSize - 16
	minDigestRoom = 64
)

// SplitMessage divides a message into parts that each fit into a datagram. All but
// the last carry only records.
func SplitMessage(m *policy.MemberMessage) []*policy.MemberMessage {
	if maxMessageSize(m) <= packLimit {
		return []*policy.MemberMessage{m}
	}
	var parts []*policy.MemberMessage
	part := &policy.MemberMessage{Self: m.Self}
	room := packLimit - baseSize
	for i := range m.Records {
		n := maxRecordSize(&m.Records[i])
		if n > room {
			parts = append(parts, part)
			part = &policy.MemberMessage{Self: m.Self}
			room = packLimit - baseSize
		}
		part.Records = append(part.Records, m.Records[i])
		room -= n
	}
	parts = append(parts, part)
	last := &policy.MemberMessage{Self: m.Self, Zones: m.Zones, Wants: m.Wants}
	return append(parts, last)
}

// DigestRoom is the number of bytes that a message leaves for digests.
func DigestRoom(m *policy.MemberMessage) int {
	room := packLimit - maxMessageSize(m)
	if room < minDigestRoom {
		return 0
	}
	return room - digestSlack
}

// maxMessageSize bounds the encoded maxMessageSize of a message from above.
func maxMessageSize(m *policy.MemberMessage) int {
	n := prefixSize + 48 + len(m.Self.ID) + maxRecordSize(&m.Self)
	for i := range m.Records {
		n += maxRecordSize(&m.Records[i])
	}
	for _, z := range m.Zones {
		n += summarySize + len(z.Zone) + len(z.Ages)
	}
	for _, w := range m.Wants {
		n += 2 + len(w)
	}
	return n
}

func maxRecordSize(r *policy.MemberRecord) int {
	return recordSize + len(r.ID) + len(r.Zone) + len(r.GossipAddress) + len(r.PeerAddress)
}
