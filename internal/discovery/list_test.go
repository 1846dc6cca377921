package discovery

import (
	"fmt"
	"strings"
	"testing"

	"lichenroad/relay"
)

func TestParse(t *testing.T) {
	reader := NewReader([]string{"a", "b"}, []string{"m1"}, func(s float64) relay.Seconds { return s - 100 })
	list, err := reader.Parse([]byte(`{"generation":41,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"10.1.0.18:5433","zone":"b","machineType":"m2","cell":3,"lifecycle":"SERVING",
		 "weight":1.5,"startedAtMs":99000,"build":41},
		{"instanceId":"s-2","hostPort":"10.1.0.19:5433","lifecycle":"ASLEEP"},
		{"instanceId":"s-3","hostPort":"nowhere","lifecycle":"SERVING"},
		{"instanceId":7,"hostPort":"10.1.0.19:5433","lifecycle":"SERVING"},
		{"instanceId":"s-4","hostPort":"10.1.0.20:5433","zone":"c","cell":"2","build":"42","lifecycle":"SERVING"},
		{"instanceId":"s-4","hostPort":"10.1.0.21:5433","zone":"c","lifecycle":"DRAINING"},
		{"instanceId":"s-5","lifecycle":"DELETED"},
		{"instanceId":"s-6","hostPort":"10.1.0.21:5433","zone":"b","lifecycle":"SERVING"},
		{"instanceId":"s-6","hostPort":17,"zone":["b"],"cell":{},"build":"new","lifecycle":"DRAINING"},
		{"instanceId":"s-7","hostPort":"nowhere","lifecycle":"DRAINING"},
		{"instanceId":"s-8","startedAtMs":"then","lifecycle":"DELETED"}]}`))
	if err != nil || list.Generation != 41 || !list.Full || list.Unreadable != 6 || len(list.Endpoints) != 6 {
		t.Fatalf("list %+v, error %v", list, err)
	}
	one, four, five := list.Endpoints[0], list.Endpoints[1], list.Endpoints[2]
	want := relay.Endpoint{ID: endpointID("s-1"), Zone: 1, MachineType: 1, FailureDomain: 3, Build: 41, Weight: 1.5, State: relay.Ready,
		StartKnown: true, StartedAt: -1}
	if one.Endpoint != want || one.Address != "10.1.0.18:5433" || one.Name != "s-1" {
		t.Errorf("first endpoint %+v, want %+v with its address and name", one, want)
	}
	if four.State != relay.Draining || four.Address != "10.1.0.21:5433" || four.Zone != 2 || four.StartKnown {
		t.Errorf("the later of two entries with the same id should be used: %+v", four)
	}
	if five.State != relay.Removed {
		t.Errorf("the endpoint should be removed: %+v", five)
	}
	// An entry that states that an endpoint is leaving is used, whatever else is wrong with it.
	for i, state := range []relay.EndpointState{relay.Draining, relay.Draining, relay.Removed} {
		want := relay.Endpoint{ID: endpointID(fmt.Sprint("s-", 6+i)), State: state, Partial: true}
		if endpoint := list.Endpoints[3+i]; endpoint.Endpoint != want {
			t.Errorf("partial endpoint %+v, want %+v", endpoint.Endpoint, want)
		}
	}
}

// TestParseKeepsNumbers parses a second list. A zone must keep its number and an endpoint its id.
func TestParseKeepsNumbers(t *testing.T) {
	reader := NewReader([]string{"a", "b"}, []string{"m1"}, func(s float64) relay.Seconds { return s - 100 })
	first, err := reader.Parse([]byte(`{"generation":41,"instances":[
		{"instanceId":"s-1","hostPort":"10.1.0.18:5433","zone":"b","lifecycle":"SERVING"},
		{"instanceId":"s-4","hostPort":"10.1.0.21:5433","zone":"c","lifecycle":"DRAINING"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	next, err := reader.Parse([]byte(`{"generation":42,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:5433",
		"zone":"c","lifecycle":"SERVING"}]}`))
	if err != nil || next.Endpoints[0].Zone != 2 || next.Endpoints[0].ID != first.Endpoints[0].ID {
		t.Errorf("the numbers of zone and endpoint should not change: list %+v, error %v", next, err)
	}
}

func TestParseRejectsMalformedLists(t *testing.T) {
	reader := NewReader(nil, nil, func(s float64) relay.Seconds { return s })
	for _, malformed := range []string{``, `{`, `[]`, `{"instances":[]}`, `{"generation":"x","instances":[]}`,
		`{"generation":1,"instances":[` + strings.Repeat(`{},`, maxEndpoints) + `{}]}`} {
		if _, err := reader.Parse([]byte(malformed)); err == nil {
			t.Errorf("malformed list %.40q was accepted", malformed)
		}
	}
}
