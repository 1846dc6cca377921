package releasecontroller

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/rollout"
)

func TestOperatorCommands(t *testing.T) {
	dir := t.TempDir()
	r := start(t, dir, 1000, nil)
	r.mustCall(Request{Verb: "offer", Service: "a", Build: 7})
	r.mustCall(Request{Verb: "freeze", FreezeName: "audit"})
	a, b := dial(t, r.addresses.Relays["a"]["r0"]), dial(t, r.addresses.Relays["a"]["r1"])
	a.call("VOTE 7 0 approve")
	if s := b.call("VOTE 7 0 approve"); !strings.HasPrefix(s, "OK 7 0 ") {
		t.Error("promoted during the freeze: ", s)
	}
	if out := r.mustCall(Request{Verb: "status"}); out.Status[0].BlockCode != rollout.BlockedByOperatorFreeze || len(out.Freezes) != 1 {
		t.Errorf("status in the freeze: %+v", out)
	}
	if out := r.mustCall(Request{Verb: "thaw", FreezeName: "audit"}); out.Status[0].Step != "two" {
		t.Errorf("after the end of the freeze: %+v", out.Status[0])
	}
	if out := r.mustCall(Request{Verb: "back", Service: "a"}); out.Status[0].Phase != "going back" {
		t.Errorf("after the rollback began: %+v", out.Status[0])
	}
	for _, bad := range []Request{{Verb: "offer", Service: "z", Build: 1}, {Verb: "offer", Service: "a", Build: 7}, {Verb: "dance"},
		{Verb: "halt", Service: "z"}, {Verb: "thaw", FreezeName: "nights"}, {Verb: "halt", Service: "a", Actor: "x"}} {
		if out, err := r.call(bad); err == nil {
			t.Errorf("request %+v was accepted: %+v", bad, out)
		}
	}
	events, err := History(dir, false, 100)
	var kinds []string
	for _, e := range events {
		kinds = append(kinds, string(e.Kind))
		if (e.Kind == rollout.EventFrozen || e.Kind == rollout.EventRollingBack) && (e.Actor != "ops" || e.Reason != "a test") {
			t.Errorf("event without its operator or reason: %+v", e)
		}
	}
	if got := strings.Join(kinds, " "); err != nil || got != "started offered began froze thawed moved sent_back" {
		t.Error("kinds of the events and error: ", got, err)
	}
	if _, err := Call(context.Background(), t.TempDir(), Request{Verb: "status"}); err == nil {
		t.Error("Call succeeded without a running release controller")
	}
	raw, _ := os.ReadFile(filepath.Join(dir, controlFileName))
	os.WriteFile(filepath.Join(dir, controlFileName), []byte(strings.Fields(string(raw))[0]+" 00\n"), 0o600)
	if _, err := r.call(Request{Verb: "status"}); err == nil || !strings.Contains(err.Error(), "word") {
		t.Error("request with a wrong token: ", err)
	}
	if _, err := Open(dir, func(rollout.Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "another release controller") {
		t.Error("a second release controller opened the directory: ", err)
	}
}

// TestOpenControlFailsWithoutControlFile opens the control socket in a directory that can't be written to. Operators find the
// socket by the control file only, so opening it must fail.
func TestOpenControlFailsWithoutControlFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	if c, err := openControl(&Controller{dir: missing}, ""); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("opened: %v, error: %v", c != nil, err)
	}
}

// TestRequestFormat checks the JSON of a request: other programs may send requests to the control socket.
func TestRequestFormat(t *testing.T) {
	got, err := json.Marshal(Request{Token: "w", Verb: VerbFreeze, Service: "a", Build: 7, FreezeName: "n", Until: 2, Actor: "o", Reason: "y",
		IncludeVotes: true, MaxEvents: 3})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"word":"w","verb":"freeze","service":"a","build":7,"name":"n","until":2,"who":"o","why":"y","votes":true,"last":3}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
