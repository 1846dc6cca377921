package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"lichenroad/simwire"
)

// started is a batch that starts instance 3 with the given settings, and fires a timer of it.
func started(settings string) []byte {
	body := []byte{byte(simwire.EventStart), 3, 0}
	body = binary.LittleEndian.AppendUint64(body, 1)
	body = binary.LittleEndian.AppendUint32(body, uint32(len(settings)))
	body = append(body, settings...)
	body = append(body, byte(simwire.EventTimerFired), 3, 0, 1, 0, 0, 0, 0, 0, 0, 0)
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(head, 5_000_000_000), body...)
}

func TestServe(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(started(`{"replicas_of_me": 1}`)), &out); err != nil {
		t.Fatal(err)
	}
	if n := binary.LittleEndian.Uint32(out.Bytes()); n == 0 {
		t.Error("an instance whose timer fired sent no command")
	}
	whole := started(`{}`)
	if err := serve(bytes.NewReader(whole[:len(whole)-1]), &out); !errors.Is(err, simwire.ErrMalformed) {
		t.Error("a cut frame:", err)
	}
	if err := serve(bytes.NewReader(started(`{`)), &out); err == nil {
		t.Error("bad settings were taken")
	}
}
