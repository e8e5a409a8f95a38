package peer

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/savoryfold/savoryfold/policy"
	_ "github.com/savoryfold/savoryfold/test/rapidseed" // makes property tests repeatable
)

const (
	secretA = "secret-a-0123456789"
	secretB = "secret-b-0123456789"
)

func secrets(list ...string) Secrets {
	var s Secrets
	for _, secret := range list {
		s = append(s, []byte(secret))
	}
	return s
}

func datagram(sequence uint64, sent time.Time) *Datagram {
	self := policy.MemberRecord{
		ID: "hobart-1", Zone: "hobart", Boot: 7, Incarnation: 2, Status: policy.MemberReady,
		GossipAddress: "10.0.0.1:7946", PeerAddress: "10.0.0.1:7947", Revision: 41,
	}
	return &Datagram{
		Header:  Header{Sequence: sequence, SentAt: sent.Unix()},
		Message: policy.MemberMessage{Self: self, Zones: []policy.ZoneSummary{{Zone: "hobart", Hash: 9}}},
		Digests: []policy.Digest{{Origin: "hobart-1", Kind: "load", Version: 3, Payload: []byte{1, 2}}},
	}
}

func TestDatagram(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	Convey("A datagram signed with any of the secrets is accepted", t, func() {
		raw, err := datagram(1, now).Encode(secrets(secretA))
		So(err, ShouldBeNil)
		d, err := Decode(raw, secrets(secretB, secretA))
		So(err, ShouldBeNil)
		So(d.Message.Self.Revision, ShouldEqual, 41)
		So(d.Digests[0].Payload, ShouldResemble, []byte{1, 2})
	})
	Convey("A datagram is rejected if its secret is unknown or any byte was changed", t, func() {
		raw, err := datagram(1, now).Encode(secrets(secretA))
		So(err, ShouldBeNil)
		_, err = Decode(raw, secrets(secretB))
		So(err, ShouldEqual, ErrDatagramForged)
		for i := range raw {
			changed := bytes.Clone(raw)
			changed[i] ^= 1
			_, err := Decode(changed, secrets(secretA))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A datagram is rejected if its sender's own record has an observed status", t, func() {
		d := datagram(1, now)
		d.Message.Self.ObservedStatus = policy.MemberGone
		raw, err := d.Encode(secrets(secretA))
		So(err, ShouldBeNil)
		_, err = Decode(raw, secrets(secretA))
		So(err, ShouldEqual, ErrDatagramMalformed)
	})
}

func TestReplayGuard(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	datagramOf := func(boot, sequence uint64, sent time.Time) *Datagram {
		d := datagram(sequence, sent)
		d.Message.Self.Boot = boot
		return d
	}
	Convey("A datagram is rejected if it is replayed, below the window, too old or of an older boot", t, func() {
		g := ReplayGuard{MaxSkew: 30 * time.Second}
		So(g.Accept(now, datagramOf(2, 5, now)), ShouldBeTrue)
		So(g.Accept(now, datagramOf(2, 5, now)), ShouldBeFalse)
		So(g.Accept(now, datagramOf(2, 4, now)), ShouldBeTrue)
		So(g.Accept(now, datagramOf(2, 5000, now)), ShouldBeTrue)
		So(g.Accept(now, datagramOf(2, 6, now)), ShouldBeFalse)
		So(g.Accept(now, datagramOf(2, 5001, now.Add(-time.Minute))), ShouldBeFalse)
		So(g.Accept(now, datagramOf(1, 9999, now)), ShouldBeFalse)
		So(g.Accept(now, datagramOf(3, 1, now)), ShouldBeTrue)
		So(g.Accept(now, datagramOf(2, 5002, now)), ShouldBeFalse)
	})
	Convey("No sequence number is accepted twice, in any order of arrival", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			g := ReplayGuard{MaxSkew: time.Minute}
			accepted := make(map[uint64]bool)
			for _, n := range rapid.SliceOf(rapid.Uint64Range(0, 5000)).Draw(t, "numbers") {
				if g.Accept(now, datagramOf(1, n, now)) {
					if accepted[n] {
						t.Fatalf("%d was accepted twice", n)
					}
					accepted[n] = true
				}
			}
		})
	})
}

func TestSplit(t *testing.T) {
	Convey("A message with many records is split into datagrams within the size limit", t, func() {
		m := &policy.MemberMessage{Self: datagram(1, time.Now()).Message.Self, Wants: []string{"hobart"}}
		for i := range 340 {
			r := m.Self
			r.ID = fmt.Sprintf("launceston-%d", i)
			m.Records = append(m.Records, r)
		}
		records := 0
		for _, part := range SplitMessage(m) {
			d := datagram(1, time.Now())
			d.Message, d.Digests = *part, nil
			raw, err := d.Encode(secrets(secretA))
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThanOrEqualTo, MaxDatagramSize)
			records += len(part.Records)
		}
		So(records, ShouldEqual, 340)
	})
}

func TestKeyring(t *testing.T) {
	Convey("A changed secrets file is reloaded, and an invalid one leaves the secrets as they are", t, func() {
		file := filepath.Join(t.TempDir(), "secrets")
		So(os.WriteFile(file, []byte(secretA+"\n"), 0o600), ShouldBeNil)
		k, err := NewKeyring(nil, file)
		So(err, ShouldBeNil)
		So(os.WriteFile(file, []byte("# rotated\n"+secretB+"\n"+secretA+"\n"), 0o600), ShouldBeNil)
		changed, err := k.Reload(time.Now().Add(time.Second))
		So(err, ShouldBeNil)
		So(changed, ShouldBeTrue)
		So(k.Secrets(), ShouldResemble, secrets(secretB, secretA))
		So(os.WriteFile(file, []byte("short\n"), 0o600), ShouldBeNil)
		_, err = k.Reload(time.Now().Add(2 * time.Second))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldNotContainSubstring, "short\n")
		So(k.Secrets(), ShouldResemble, secrets(secretB, secretA))
	})
}

func FuzzDecode(f *testing.F) {
	raw, err := datagram(1, time.Unix(1_800_000_000, 0)).Encode(secrets(secretA))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw[prefixSize:])
	f.Fuzz(func(t *testing.T, body []byte) {
		signed := append([]byte{datagramVersion}, computeHMAC([]byte(secretA), []byte{datagramVersion}, body)[:macSize]...)
		signed = append(signed, body...)
		d, err := Decode(signed, secrets(secretA))
		if err != nil {
			return
		}
		if _, err := d.Encode(secrets(secretA)); err != nil && len(signed) < MaxDatagramSize/2 {
			t.Fatalf("a decoded datagram cannot be encoded again: %v", err)
		}
	})
}
