package partguard

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

func TestReportEncoding(t *testing.T) {
	Convey("A decoded report holds what was encoded", t, func() {
		at := time.UnixMilli(1773767424221)
		r := policy.PartReport{
			Charges:   []policy.CrashRecord{{Fingerprint: 7, Charges: []policy.CrashCharge{{Server: 1, At: at}}}},
			Successes: []policy.PartSuccess{{Part: 8, At: at.Add(time.Second)}},
		}
		decoded, err := decodeReport(encodeReport(r))
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, r)
	})
	Convey("A report with too many charges is rejected", t, func() {
		var r policy.PartReport
		for part := range uint64(maxWireCharges + 1) {
			r.Charges = append(r.Charges, policy.CrashRecord{Fingerprint: part, Charges: []policy.CrashCharge{{Server: 1}}})
		}
		_, err := decodeReport(encodeReport(r))
		So(err, ShouldNotBeNil)
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add(encodeReport(policy.PartReport{Successes: []policy.PartSuccess{{Part: 1, At: time.UnixMilli(1)}}}))
	f.Add([]byte{0xa1})
	f.Fuzz(func(_ *testing.T, body []byte) {
		if r, err := decodeReport(body); err == nil {
			policy.NewPartLedger().Merge(time.Now(), r, false)
		}
	})
}
