package peer

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const frameLimit = 1 << 16

func TestFrames(t *testing.T) {
	Convey("A decoded frame equals the encoded one", t, func() {
		raw, err := EncodeFrame(&Request{Method: "echo", TimeLeftMS: 20, Body: []byte("x")}, frameLimit)
		So(err, ShouldBeNil)
		r, err := ReadFrame[Request](bytes.NewReader(raw), frameLimit)
		So(err, ShouldBeNil)
		So(r.Method, ShouldEqual, "echo")
		So(r.Body, ShouldResemble, []byte("x"))
	})
	Convey("A frame that is too large, truncated or of another type is rejected", t, func() {
		raw, err := EncodeFrame(&Request{Method: "echo", Body: make([]byte, 100)}, frameLimit)
		So(err, ShouldBeNil)
		_, err = ReadFrame[Request](bytes.NewReader(raw), 50)
		So(err, ShouldEqual, ErrFrameTooLarge)
		_, err = EncodeFrame(&Request{Method: "echo", Body: make([]byte, 100)}, 50)
		So(err, ShouldEqual, ErrFrameTooLarge)
		_, err = ReadFrame[Request](bytes.NewReader(raw[:len(raw)-1]), frameLimit)
		So(err, ShouldNotBeNil)
		_, err = ReadFrame[Hello](bytes.NewReader(raw), frameLimit)
		So(err, ShouldEqual, ErrFrameMalformed)
	})
}

func FuzzFrames(f *testing.F) {
	request, _ := EncodeFrame(&Request{Method: "echo", TimeLeftMS: 20, Body: []byte("x")}, frameLimit)
	response, _ := EncodeFrame(&Response{Code: ResponseError, Message: "no"}, frameLimit)
	hello, _ := EncodeFrame(&Hello{ID: "a", Proof: make([]byte, proofSize)}, frameLimit)
	for _, seed := range [][]byte{request, response, hello} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if v, err := ReadFrame[Request](bytes.NewReader(raw), frameLimit); err == nil {
			roundTrip(t, v)
		}
		if v, err := ReadFrame[Response](bytes.NewReader(raw), frameLimit); err == nil {
			roundTrip(t, v)
		}
		if v, err := ReadFrame[Hello](bytes.NewReader(raw), frameLimit); err == nil {
			roundTrip(t, v)
		}
	})
}

func roundTrip[T Frame](t *testing.T, v *T) {
	raw, err := EncodeFrame(v, 2*frameLimit)
	if err != nil {
		t.Fatalf("a decoded frame cannot be encoded again: %v", err)
	}
	if _, err := ReadFrame[T](bytes.NewReader(raw), 2*frameLimit); err != nil {
		t.Fatalf("an encoded frame cannot be decoded: %v", err)
	}
}
