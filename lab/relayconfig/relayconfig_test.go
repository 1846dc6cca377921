package relayconfig_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"lichenroad/internal/config"
	"lichenroad/lab/relayconfig"
)

// TestWriteIsReadByTheRelay reads a written file with package internal/config, with and without the optional parts.
func TestWriteIsReadByTheRelay(t *testing.T) {
	minimal := relayconfig.File{Name: "n1", Listen: "127.0.0.1:5433", Discovery: "127.0.0.1:8500", Seed: "12", InitialEndpoints: json.RawMessage(`null`),
		Settings: relayconfig.Settings{Number: 1, Relays: 3, RequestClasses: []relayconfig.RequestClass{{Name: "look", Idempotency: "retryable"}}}}
	complete := minimal
	complete.Limits = &relayconfig.Limits{MemoryMB: 192, Sockets: 1024}
	complete.Platform = &relayconfig.Platform{Address: "127.0.0.1:6400"}
	for _, c := range []struct {
		name string
		file relayconfig.File
	}{{"minimal", minimal}, {"complete", complete}} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "n1.json")
			if err := c.file.Write(path); err != nil {
				t.Fatal(err)
			}
			read, err := config.Load(path, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			if read.Name != "n1" || read.Listen != "127.0.0.1:5433" || read.Discovery != "127.0.0.1:8500" {
				t.Errorf("read %+v", read)
			}
			wantPlatform := ""
			if c.file.Platform != nil {
				wantPlatform = c.file.Platform.Address
			}
			if read.Platform != wantPlatform {
				t.Errorf("platform %q, want %q", read.Platform, wantPlatform)
			}
			if s := read.Site; s.Self != 1 || s.Relays != 3 || len(s.Classes) != 1 {
				t.Errorf("settings %+v", s)
			}
		})
	}
}

// TestWriteFails writes to a path that is a folder, and writes an endpoint list that is not valid JSON. No file must be left.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	if err := (relayconfig.File{InitialEndpoints: json.RawMessage(`null`)}).Write(dir); err == nil {
		t.Error("writing to a folder did not fail")
	}
	if err := (relayconfig.File{InitialEndpoints: json.RawMessage(`{`)}).Write(filepath.Join(dir, "file")); err == nil {
		t.Error("writing an endpoint list that is not JSON did not fail")
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) > 0 {
		t.Errorf("files left in the folder: %v, %v", entries, err)
	}
}
