package peer

import (
	"bytes"
	"testing"
)

// FuzzFrame guards against frames from a faulty peer that cause a panic, allocate
// more memory than their size, or decode to a value that encodes differently.
func FuzzFrame(f *testing.F) {
	for _, v := range []any{request{Kind: "forward", TimeoutMicros: 5, Body: []byte("b")}, reply{Status: statusRefused, Error: "e"}} {
		frame, err := encodeFrame(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x83})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		frame, err := readFrame(bytes.NewReader(data), limit, func(int) {})
		if err != nil {
			return
		}
		if len(frame) > limit || len(frame) > len(data) {
			t.Fatalf("frame of %d bytes from %d", len(frame), len(data))
		}
		if r, err := decodeRequest(frame); err == nil {
			if len(r.Kind) > maxKindBytes || r.timeout() < 0 {
				t.Fatalf("accepted %+v", r)
			}
			reencode(t, r, decodeRequest)
		}
		if r, err := decodeReply(frame); err == nil {
			reencode(t, r, decodeReply)
		}
	})
}

func reencode[T any](t *testing.T, v T, decode func([]byte) (T, error)) {
	t.Helper()
	first, err := encodeFrame(v)
	if err != nil {
		t.Fatal(err)
	}
	again, err := decode(first[lengthBytes:])
	if err != nil {
		t.Fatal(err)
	}
	second, err := encodeFrame(again)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%x became %x: %v", first, second, err)
	}
}
