package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"lichenroad/simwire"
)

// startBatch encodes a batch that starts instance 3 with the given settings and fires its timer 1.
func startBatch(settings string) []byte {
	body := []byte{byte(simwire.EventStart), 3, 0}
	body = binary.LittleEndian.AppendUint64(body, 1)
	body = binary.LittleEndian.AppendUint32(body, uint32(len(settings)))
	body = append(body, settings...)
	body = append(body, byte(simwire.EventTimerFired), 3, 0, 1, 0, 0, 0, 0, 0, 0, 0)
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(header, 5_000_000_000), body...)
}

func TestServe(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(startBatch(`{"replicas_of_me": 1}`)), &out); err != nil {
		t.Fatal(err)
	}
	if n := binary.LittleEndian.Uint32(out.Bytes()); n == 0 {
		t.Error("no command after the start and a fired timer")
	}
	whole := startBatch(`{}`)
	if err := serve(bytes.NewReader(whole[:len(whole)-1]), &out); !errors.Is(err, simwire.ErrMalformed) {
		t.Errorf("truncated frame: error %v, want ErrMalformed", err)
	}
	if err := serve(bytes.NewReader(startBatch(`{`)), &out); err == nil {
		t.Error("malformed settings were accepted")
	}
}
