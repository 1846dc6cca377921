package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lichenroad/relay"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],
 "platform":{"address":"127.0.0.1:6400","news":{"image":42,"ring":"1","progress":"canary","ceiling":0.28,"lag_ms":310}},
 "known":{"generation":41,"reset":true,"instances":[]},"settings":{"grades":[{"name":"basket","repeat":"retryable"}]}}`

// noEnv looks up variables in an empty environment.
func noEnv(string) string { return "" }

// parse parses a configuration that must be valid.
func parse(t *testing.T, raw string) Config {
	t.Helper()
	c, err := Parse([]byte(raw), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParse(t *testing.T) {
	env := map[string]string{"BALANCER_LISTEN": "127.0.0.2:5433"}
	c, err := Parse([]byte(validConfig), func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.2:5433" || uint64(c.Seed) != 0x8c1f30d27a5be964 || c.Sockets != 1024 {
		t.Errorf("configuration %+v", c)
	}
	if status := c.RolloutStatus; status.Build != 42 || status.Stage != 1 || status.Phase != relay.PhaseCanary {
		t.Errorf("rollout status %+v", status)
	}
	if class, known := c.Site.ClassByName["basket"]; !known || class != 0 {
		t.Errorf("request classes %+v", c.Site.ClassByName)
	}
}

func TestDefaults(t *testing.T) {
	c := parse(t, strings.Replace(validConfig, `{"cores":1.0,"memory_mb":192,"sockets":1024}`, `{}`, 1))
	if c.Cores != 1 || c.MemoryMB != 192 || c.Sockets != 1024 {
		t.Errorf("limits without settings: %+v", c)
	}
}

func TestNullKnownListIsValid(t *testing.T) {
	c := parse(t, strings.Replace(validConfig, `{"generation":41,"reset":true,"instances":[]}`, "null", 1))
	if c.KnownList != nil {
		t.Errorf("known list %s, want none", c.KnownList)
	}
}

// TestMalformedKnownListIsPassedOn checks that a malformed last known list is passed on unparsed, to be reported at start,
// and prevents neither the start nor a reload, which may bring a new address of discovery.
func TestMalformedKnownListIsPassedOn(t *testing.T) {
	raw := strings.Replace(validConfig, `"generation":41`, `"generation":"x"`, 1)
	if c := parse(t, raw); !strings.Contains(string(c.KnownList), `"x"`) {
		t.Errorf("known list %s, want it unparsed", c.KnownList)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Reload(path, noEnv); err != nil {
		t.Error("the list prevents a reload:", err)
	}
}

func TestFaultsAreNamed(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to string // replaced in the valid configuration
		want     string // part of the error
	}{
		{"listen", `"listen":"127.0.0.1:5433"`, `"listen":"here"`, "listen"},
		{"discovery", `"discovery":"127.0.0.1:8500"`, `"discovery":""`, "discovery"},
		{"peers", `"peers":["127.0.0.1:7946"]`, `"peers":["x"]`, "peers"},
		{"seed", "8c1f30d27a5be964", "xyz", "seed"},
		{"memory", `"memory_mb":192`, `"memory_mb":8`, "limits"},
		{"rollout status", `"canary"`, `"flying"`, "platform.news"},
		{"no classes", `[{"name":"basket","repeat":"retryable"}]`, `[]`, "settings"},
		{"no settings", `"settings":{`, `"other":{`, "settings"},
		{"invalid JSON", `"seed"`, `seed`, "invalid"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), noEnv)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("with %s: got error %v, want one that contains %q", c.to, err, c.want)
			}
		})
	}
}

// TestAllFaultsAtOnce checks the texts of the faults and their order.
func TestAllFaultsAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{"listen":"here","peers_all":"x","platform":{"address":"y","news":{"image":1}},"peers":["z"],"seed":"q",
 "limits":{"sockets":1}}`), noEnv)
	const want = `listen: "here" is not an IP address with a port
discovery: "" is not an IP address with a port
peers_all: "x" is not an IP address with a port
platform.address: "y" is not an IP address with a port
peers: "z" is not an IP address with a port
seed: "q" is not a hexadecimal number of up to 64 bits
limits: at least 32 MB of memory and 64 sockets are needed
settings: missing
platform.news: malformed line: rollout status of build "1"`
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load("", noEnv); !errors.Is(err, errNoPath) {
		t.Error("no path:", err)
	}
	if _, err := Load(path, noEnv); !errors.Is(err, fs.ErrNotExist) {
		t.Error("a missing file:", err)
	}
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, noEnv); err != nil {
		t.Error("a valid file:", err)
	}
}

// TestReload checks that the environment's address of discovery applies only at start.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"BALANCER_DISCOVERY": "127.0.0.9:1", "BALANCER_LISTEN": "127.0.0.9:2"}
	getenv := func(name string) string { return env[name] }
	atStart, err := Load(path, getenv)
	if err != nil || atStart.Discovery != "127.0.0.9:1" || atStart.Listen != "127.0.0.9:2" {
		t.Errorf("at start: %q %q %v", atStart.Discovery, atStart.Listen, err)
	}
	reloaded, err := Reload(path, getenv)
	if err != nil || reloaded.Discovery != "127.0.0.1:8500" || reloaded.Listen != "127.0.0.9:2" {
		t.Errorf("on a reload: %q %q %v", reloaded.Discovery, reloaded.Listen, err)
	}
}

func TestNeedRestart(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to string // replaced in the valid configuration
		want     []string
	}{
		{"nothing", "", "", nil},
		{"discovery", "127.0.0.1:8500", "127.0.0.1:8501", nil},
		{"seed", "8c1f30d27a5be964", "1", nil},
		{"known list", `"generation":41`, `"generation":42`, nil},
		{"another platform", "127.0.0.1:6400", "127.0.0.1:6401", nil},
		{"no platform", `"address":"127.0.0.1:6400",`, "", []string{"platform.address"}},
		{"name and listen", `"n3","listen":"127.0.0.1:5433"`, `"n4","listen":"127.0.0.1:5434"`, []string{"name", "listen"}},
		{"limits", `"cores":1.0`, `"cores":2.0`, []string{"limits"}},
		{"peers", `"peers":["127.0.0.1:7946"]`, `"peers":[]`, []string{"peers"}},
		{"settings", "retryable", "dedup", []string{"settings"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := parse(t, strings.Replace(validConfig, c.from, c.to, 1))
			if got := parse(t, validConfig).NeedRestart(next); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
