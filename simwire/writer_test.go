package simwire

import (
	"bytes"
	"testing"
)

func TestWriterEncodesReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.SendAttempt(3, 0x5d3a91c4, 0x0a124a07<<16|0x1b5b, 80000000)
	w.SetTimer(3, 0x4d, 0x213362490)
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
