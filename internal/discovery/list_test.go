package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"lichenroad/relay"
)

const wireListOfAllKinds = `{"generation":41,"reset":true,"instances":[
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
	{"instanceId":"s-8","startedAtMs":"then","lifecycle":"DELETED"}]}`

func TestParse(t *testing.T) {
	reader := NewReader([]string{"a", "b"}, []string{"m1"}, func(s float64) relay.Seconds { return s - 100 })
	list, err := reader.Parse([]byte(wireListOfAllKinds))
	if err != nil || list.Generation != 41 || !list.Full || list.Unreadable != 6 || len(list.Endpoints) != 6 {
		t.Fatalf("%+v %v", list, err)
	}
	t.Run("entries", func(t *testing.T) { checkReadableEntries(t, list) })
	t.Run("malformed entries of endpoints that leave", func(t *testing.T) {
		for i, state := range []relay.EndpointState{relay.Draining, relay.Draining, relay.Removed} {
			want := relay.Endpoint{ID: endpointID(fmt.Sprint("s-", 6+i)), State: state, Partial: true}
			if endpoint := list.Endpoints[3+i]; endpoint.Endpoint != want {
				t.Errorf("%+v", endpoint)
			}
		}
	})
	t.Run("numbers stay", func(t *testing.T) {
		next, err := reader.Parse([]byte(`{"generation":42,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:5433",
			"zone":"c","lifecycle":"SERVING"}]}`))
		if err != nil || next.Endpoints[0].Zone != 2 || next.Endpoints[0].ID != list.Endpoints[0].ID {
			t.Errorf("%+v %v", next, err)
		}
	})
	for name, malformed := range map[string]string{
		"empty":                 ``,
		"cut short":             `{`,
		"no object":             `[]`,
		"no generation":         `{"instances":[]}`,
		"generation not number": `{"generation":"x","instances":[]}`,
		"too many entries":      `{"generation":1,"instances":[` + strings.Repeat(`{},`, maxEndpoints) + `{}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := reader.Parse([]byte(malformed)); !errors.Is(err, errMalformedList) {
				t.Error("taken:", err)
			}
		})
	}
}

func checkReadableEntries(t *testing.T, list List) {
	t.Helper()
	full, duplicate, removed := list.Endpoints[0], list.Endpoints[1], list.Endpoints[2]
	want := relay.Endpoint{ID: endpointID("s-1"), Zone: 1, MachineType: 1, FailureDomain: 3, Build: 41, Weight: 1.5,
		State: relay.Ready, StartKnown: true, StartedAt: -1}
	if full.Endpoint != want || full.Address != "10.1.0.18:5433" || full.Name != "s-1" {
		t.Errorf("%+v", full)
	}
	isLater := duplicate.State == relay.Draining && duplicate.Address == "10.1.0.21:5433"
	if !isLater || duplicate.Zone != 2 || duplicate.StartKnown {
		t.Errorf("the later of two entries should hold: %+v", duplicate)
	}
	if removed.State != relay.Removed {
		t.Errorf("%+v", removed)
	}
}
