package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
)

func frame(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const batch = "38000000 90bf68f501000000" +
	"07 0300 c4913a5d 90dbb60302000000 001bb70000000000 01 640ad2557c3bf091 00000000 0000" +
	"0a 0300 4d00000000000000 0c 0500 192b6f0e"

func TestReadsABatch(t *testing.T) {
	r := NewReader(bytes.NewReader(frame(t, batch)))
	clock, evs, err := r.Read()
	if err != nil || clock != 0x1f568bf90 || len(evs) != 3 {
		t.Fatal(clock, evs, err)
	}
	q := evs[0]
	if q.Code != EvQuery || q.Instance != 3 || q.Query != 0x5d3a91c4 || q.Work != 12000000 || q.Bits != 1 {
		t.Errorf("query: %+v", q)
	}
	if evs[1].Token != 0x4d || evs[2].Query != 0x0e6f2b19 || evs[2].Instance != 5 {
		t.Errorf("others: %+v", evs[1:])
	}
	if _, _, err := r.Read(); err != io.EOF {
		t.Error("want a clean end, got", err)
	}
}

func TestEveryTruncationIsMalformed(t *testing.T) {
	whole := frame(t, batch)
	for n := 1; n < len(whole); n++ {
		if _, _, err := NewReader(bytes.NewReader(whole[:n])).Read(); !errors.Is(err, ErrMalformed) {
			t.Fatalf("%d bytes: %v", n, err)
		}
		if n > 12 { // the same cut, with a length that hides it
			cut := append([]byte{byte(n - 12), 0, 0, 0}, whole[4:n]...)
			_, evs, err := NewReader(bytes.NewReader(cut)).Read()
			if whole := n == 12+38 || n == 12+38+11; (err == nil) != whole {
				t.Fatalf("%d bytes with their length: %d events, %v", n, len(evs), err)
			}
		}
	}
	if _, _, err := NewReader(bytes.NewReader(frame(t, "01000000 0000000000000000 63"))).Read(); err == nil {
		t.Error("an unknown code was read")
	}
}

func TestWritesAReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.SendLeg(3, 0x5d3a91c4, 0x0a124a07<<16|0x1b5b, 80000000)
	w.Wake(3, 0x4d, 0x213362490)
	w.Log(5, "two servers known")
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := frame(t, "03000000 3e000000 46 0300 c4913a5d 0a124a07 5b1b 00b4c40400000000"+
		"49 0300 4d00000000000000 9024361302000000 41 0500 1100 74776f2073657276657273206b6e6f776e")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}
