package compat_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],"peers_all":"127.0.0.1:7947",
 "platform":{"address":"127.0.0.1:6400","news":{"image":42,"ring":"1","progress":"canary","ceiling":0.28,"lag_ms":310}},
 "known":{"generation":41,"reset":true,"instances":[]},"settings":{"grades":[{"name":"basket","repeat":"retryable"}]}}`

// TestConfigurations reads valid and invalid configurations. For a valid one, `check` prints ok. For an invalid one, both
// `check` and `serve` exit with 1 and print one line that names the field.
func TestConfigurations(t *testing.T) {
	for _, c := range []struct {
		name      string
		old, new  string
		wantError string // text in the error line, apart from the file's path; empty: the configuration is valid
	}{
		{"as it stands", "", "", ""},
		{"unknown keys", `{"name"`, `{"more":{"x":1},"name"`, ""},
		{"no list as last held", `{"generation":41,"reset":true,"instances":[]}`, `null`, ""},
		{"a list that can't be read", `"generation":41`, `"generation":"x"`, ""},
		{"no limits", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, ``, ""},
		{"no platform", `"platform":{"address":"127.0.0.1:6400","news":{"image":42,"ring":"1","progress":"canary","ceiling":0.28,"lag_ms":310}},`, ``, ""},
		{"no peers", `"peers":["127.0.0.1:7946"],`, ``, ""},
		{"listen without a port", `"listen":"127.0.0.1:5433"`, `"listen":"127.0.0.1"`, "listen"},
		{"no listen", `"listen":"127.0.0.1:5433",`, ``, "listen"},
		{"listen by name", `"listen":"127.0.0.1:5433"`, `"listen":"localhost:5433"`, "listen"},
		{"no discovery", `"discovery":"127.0.0.1:8500",`, ``, "discovery"},
		{"peer_listen", `"peer_listen":"127.0.0.1:7946"`, `"peer_listen":"x"`, "peer_listen"},
		{"peers", `"peers":["127.0.0.1:7946"]`, `"peers":["x"]`, "peers"},
		{"peers_all", `"peers_all":"127.0.0.1:7947"`, `"peers_all":"x"`, "peers_all"},
		{"platform.address", `"address":"127.0.0.1:6400"`, `"address":"x"`, "platform.address"},
		{"seed", `8c1f30d27a5be964`, `xyz`, "seed"},
		{"memory", `"memory_mb":192`, `"memory_mb":8`, "limits"},
		{"sockets", `"sockets":1024`, `"sockets":8`, "limits"},
		{"news of no phase", `"canary"`, `"flying"`, "platform.news"},
		{"news of no build", `"image":42`, `"image":"x"`, "platform.news"},
		{"news with a cap over 1", `0.28`, `1.28`, "platform.news"},
		{"no categories", `[{"name":"basket","repeat":"retryable"}]`, `[]`, "settings"},
		{"no settings", `"settings":{`, `"other":{`, "settings"},
		{"settings of a wrong type", `"repeat":"retryable"`, `"repeat":7`, "settings"},
		{"a field of a wrong type", `"name":"n3"`, `"name":3`, "name"},
		{"no JSON", `"seed"`, `seed`, ":"},
		{"an empty file", validConfig, ``, ":"},
		{"two faults", `"listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500"`, `"listen":"x","discovery":"y"`, "listen"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "config.json")
			text := validConfig
			if c.old != "" {
				text = strings.Replace(validConfig, c.old, c.new, 1)
				if text == validConfig {
					t.Fatalf("the configuration does not contain %q", c.old)
				}
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			r := runTool(t, "check", "--config", path)
			if c.wantError == "" {
				if want := "ok: n3 listens on 127.0.0.1:5433\n"; r.code != 0 || r.stdout != want || r.stderr != "" {
					t.Errorf("exit code %d, standard output %q, standard error %q; want ok", r.code, r.stdout, r.stderr)
				}
				return
			}
			for _, r := range []result{r, runTool(t, "serve", "--config", path)} {
				before, after, found := strings.Cut(r.stderr, path) // left out of the search, because it contains the case's name
				if lines := r.errorLines(); r.code != 1 || len(lines) != 1 || !found || !strings.Contains(before+after, c.wantError) || r.stdout != "" {
					t.Errorf("exit code %d, standard output %q, standard error %q; want one line that names %s", r.code, r.stdout, r.stderr, c.wantError)
				}
			}
		})
	}
}

// TestConfigurationTooLarge checks that a file over the size limit is rejected without being read.
func TestConfigurationTooLarge(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig+strings.Repeat(" ", 64<<20)), 0o600); err != nil {
		t.Fatal(err)
	}
	r := runTool(t, "check", "--config", path)
	if lines := r.errorLines(); r.code != 1 || len(lines) != 1 || !strings.Contains(lines[0], path) {
		t.Errorf("exit code %d, standard error %q", r.code, r.stderr)
	}
}
