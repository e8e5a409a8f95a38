package discovery

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestSlowReader guards against a zone that waits for its reader while the reader
// receives a large response over a slow link.
func TestSlowReader(t *testing.T) {
	Convey("A reader that has been receiving a response for long refuses reads that wait for it", t, func() {
		d := &Discovery{leaving: make(chan struct{}), operators: &watch{topic: platform.OperatorTopic}, servers: &watch{topic: platform.ServersTopic}}
		d.operators.history.reset(7)
		d.operators.history.setDirect(true)
		read := func(from uint64) int {
			body, err := cbor.Marshal(recordsRequest{Topic: platform.OperatorTopic, From: from})
			So(err, ShouldBeNil)
			w := httptest.NewRecorder()
			d.serveRecords(w, httptest.NewRequest(http.MethodPost, recordsPath, bytes.NewReader(body)))
			return w.Code
		}
		d.operators.pending.setReceiving(time.Now())
		So(read(7), ShouldEqual, http.StatusServiceUnavailable) // after the wait
		d.operators.pending.setReceiving(time.Now().Add(-time.Second))
		began := time.Now()
		So(read(7), ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(began), ShouldBeLessThan, peerReadWait/2)
		d.operators.history.add([]platform.StoreRecord{{Key: "k", Offset: 7}})
		So(read(7), ShouldEqual, http.StatusOK)
		d.operators.pending.end()
		So(read(8), ShouldEqual, http.StatusOK)
	})
}

// TestZoneReaderCapacity guards against a reader whose slow link delays large
// records for its whole zone.
func TestZoneReaderCapacity(t *testing.T) {
	Convey("The reader of a zone is one of its members with the largest capacity", t, func() {
		var members []kernel.FleetMember
		for i := range 20 {
			zone := fmt.Sprint("z", i%10)
			members = append(members,
				kernel.FleetMember{ID: fmt.Sprint("large-", i), Zone: zone, Address: "a", Capacity: 200},
				kernel.FleetMember{ID: fmt.Sprint("unlisted-", i), Zone: zone, Capacity: 1000})
			for j := range 9 {
				members = append(members, kernel.FleetMember{ID: fmt.Sprint("small-", i, "-", j), Zone: zone, Address: "a", Capacity: 10})
			}
		}
		for i := range 10 {
			So(zoneReadersOf(fmt.Sprint("z", i), members)[0].Capacity, ShouldEqual, 200)
		}
		So(zoneReadersOf("z10", members), ShouldBeEmpty)
	})
}

// TestInterruptedReader guards against a zone whose instances all read the store
// because their reader restarts its read.
func TestInterruptedReader(t *testing.T) {
	Convey("A reader whose read is interrupted goes on serving other instances", t, func() {
		store := platformtest.NewStore()
		defer store.Close()
		store.Put(platform.ServersTopic, "i", []byte("{}"))
		client := platform.NewStoreClient(store.Address(), time.Second)
		defer client.Close()
		w := &watch{client: client, topic: platform.ServersTopic, wait: readWait, apply: func(time.Time, []platform.StoreRecord, recordsKind) {}, storeUnresponsive: func() bool { return false }}
		So(w.step(context.Background()), ShouldBeNil)
		ctx, interrupted := w.pending.begin(context.Background())
		w.history.setDirect(true)
		time.AfterFunc(50*time.Millisecond, func() { w.pending.interrupt() })
		So(w.step(ctx), ShouldNotBeNil)
		So(interrupted(), ShouldBeTrue)
		_, _, ok := w.history.from(1)
		So(ok, ShouldBeTrue)
	})
}
