package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// frame decodes hexadecimal digits; spaces are ignored.
func frame(t *testing.T, digits string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(digits, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// batch is a frame with a request, a fired timer and a disconnected client.
const batch = "38000000 90bf68f501000000" +
	"07 0300 c4913a5d 90dbb60302000000 001bb70000000000 01 640ad2557c3bf091 00000000 0000" +
	"0a 0300 4d00000000000000 0c 0500 192b6f0e"

func TestReaderDecodesBatch(t *testing.T) {
	r := NewReader(bytes.NewReader(frame(t, batch)))
	clock, events, err := r.Read()
	if err != nil || clock != 0x1f568bf90 || len(events) != 3 {
		t.Fatal("clock, events and error:", clock, events, err)
	}
	request := events[0]
	if request.Code != EventRequest || request.Instance != 3 || request.Request != 0x5d3a91c4 || request.Work != 12000000 ||
		request.Flags != 1 {
		t.Errorf("request: %+v", request)
	}
	if events[1].Timer != 0x4d || events[2].Request != 0x0e6f2b19 || events[2].Instance != 5 {
		t.Errorf("fired timer and disconnected client: %+v", events[1:])
	}
	if _, _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Error("error at the end of the input:", err, "want io.EOF")
	}
}

func TestEveryTruncationIsMalformed(t *testing.T) {
	whole := frame(t, batch)
	for n := 1; n < len(whole); n++ {
		if _, _, err := NewReader(bytes.NewReader(whole[:n])).Read(); !errors.Is(err, ErrMalformed) {
			t.Fatalf("batch truncated to %d bytes: error %v, want ErrMalformed", n, err)
		}
		if n > 12 { // the same truncation, with a matching length in the header
			truncated := append([]byte{byte(n - 12), 0, 0, 0}, whole[4:n]...)
			_, events, err := NewReader(bytes.NewReader(truncated)).Read()
			if betweenEvents := n == 12+38 || n == 12+38+11; (err == nil) != betweenEvents {
				t.Fatalf("batch truncated to %d bytes, with a matching length: %d events, error %v", n, len(events), err)
			}
		}
	}
	if _, _, err := NewReader(bytes.NewReader(frame(t, "01000000 0000000000000000 63"))).Read(); err == nil {
		t.Error("an unknown event code was accepted")
	}
}

func TestDecodesEachCode(t *testing.T) {
	const endpoint, endpointID = "0a124a07 5b1b", 0x0a124a07<<16 | 0x1b5b
	for _, test := range []struct {
		name string
		body string
		want Event
	}{
		{"message", "01 0300 02000000 0200 6869", Event{Code: EventMessage, Instance: 3, From: 2, Body: []byte("hi")}},
		{"rollout status", "02 0300 0000003f 01 01 2a00 02 0700000000000000 6e",
			Event{Code: EventRolloutStatus, Instance: 3, ExposureLimit: 0.5, Phase: 1, VoteReply: 1, Build: 42, Stage: 2, Age: 7,
				Outcome: OutcomeTimedOut}},
		{"reported counts", "03 0300 2a00 0100 05000000 04000000 0900000000000000 0800000000000000",
			Event{Code: EventReportedCounts, Instance: 3, Build: 42, Class: 1, Attempts: 5, Failures: 4, Duration: 9, Age: 8}},
		{"start", "04 0300 0600000000000000 02000000 7b7d", Event{Code: EventStart, Instance: 3, Seed: 6, Body: []byte("{}")}},
		{"stop", "05 0300", Event{Code: EventStop, Instance: 3}},
		{"attempt ended", "06 0300 04000000 01 " + endpoint + " 0b 0500000000000000 01 01 0000003f",
			Event{Code: EventAttemptEnded, Instance: 3, Request: 4, Attempt: 1, Endpoint: endpointID, Outcome: OutcomeRejected, Duration: 5,
				RequestFinished: 1, LoadReport: []float32{0.5}}},
		{"request", "07 0300 04000000 0500000000000000 0600000000000000 03 0700000000000000 08000000 0900",
			Event{Code: EventRequest, Instance: 3, Request: 4, Deadline: 5, Work: 6, Flags: FlagHasWork | FlagRetried, Key: 7, Tenant: 8,
				Class: 9}},
		{"health check ended", "08 0300 " + endpoint + " 0500000000000000 68 00",
			Event{Code: EventHealthCheckEnded, Instance: 3, Endpoint: endpointID, Duration: 5, Outcome: OutcomeConnectionBroken}},
		{"list update", "09 0300 ffffffff 02000000 03", Event{Code: EventListUpdate, Instance: 3, List: 2, ListKind: ListDelta}},
		{"timer fired", "0a 0300 0500000000000000", Event{Code: EventTimerFired, Instance: 3, Timer: 5}},
		{"misreported outcome", "0b 0300 0100 " + endpoint + " 0500000000000000",
			Event{Code: EventMisreportedOutcome, Instance: 3, Class: 1, Endpoint: endpointID, Age: 5}},
		{"client disconnected", "0c 0300 04000000", Event{Code: EventClientDisconnected, Instance: 3, Request: 4}},
		{"list", "0d 02000000 01000000 0100 0200 0300 00002842 0000803f 02 0500000000000000 " + endpoint,
			Event{Code: EventList, List: 2, Entries: []Entry{{Zone: 1, MachineType: 2, FailureDomain: 3, Build: 42, Weight: 1,
				State: EndpointReady, StartedAt: 5, Endpoint: endpointID}}}},
		{"stream started", "0e 0300 04000000 01 " + endpoint + " 0500000000000000",
			Event{Code: EventStreamStarted, Instance: 3, Request: 4, Attempt: 1, Endpoint: endpointID, Duration: 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := frame(t, test.body)
			got, err := decode(body, nil)
			if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], test.want) {
				t.Errorf("got  %+v, %v\nwant %+v", got, err, test.want)
			}
			if _, err := decode(body[:len(body)-1], nil); !errors.Is(err, ErrMalformed) {
				t.Errorf("without the last byte: error %v, want ErrMalformed", err)
			}
		})
	}
}
