package peer

import "github.com/savoryfold/savoryfold/policy"

// Size estimates and limits, in bytes, for splitting messages and adding digests.
const (
	// baseSize covers the prefix, the header and the sender's own record.
	baseSize      = prefixSize + 200 + 4*MaxNameLength
	recordSize    = 60 // without names and addresses
	summarySize   = 44 // without the zone's name and the ages
	digestSlack   = 24 // subtracted from the space for digests
	packLimit     = MaxDatagramSize - 16
	minDigestRoom = 64 // if less space is left, no digests are added
)

// SplitMessage splits a message so that the records of each part fit into one
// datagram. A message that fits is returned unchanged. Otherwise the last part
// carries the zone summaries and requested zones, and the others only records.
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

// DigestRoom returns the number of bytes that a message leaves for digests in its
// datagram.
func DigestRoom(m *policy.MemberMessage) int {
	room := packLimit - maxMessageSize(m)
	if room < minDigestRoom {
		return 0
	}
	return room - digestSlack
}

// maxMessageSize returns an upper bound of the encoded size of a message in bytes.
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
