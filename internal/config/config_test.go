package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/relay"
)

const good = `{"name":"n3","listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],
 "platform":{"address":"127.0.0.1:6400","news":{"image":42,"ring":"1","progress":"canary","ceiling":0.28,"lag_ms":310}},
 "known":{"generation":41,"reset":true,"instances":[]},"settings":{"grades":[{"name":"basket","repeat":"retryable"}]}}`

func none(string) string { return "" }

func TestParse(t *testing.T) {
	env := map[string]string{"BALANCER_LISTEN": "127.0.0.2:5433"}
	c, err := Parse([]byte(good), func(s string) string { return env[s] })
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.2:5433" || uint64(c.Seed) != 0x8c1f30d27a5be964 ||
		c.Sockets != 1024 || c.RolloutStatus.Build != 42 || c.RolloutStatus.Stage != 1 || c.RolloutStatus.Phase != relay.PhaseCanary ||
		c.Site.ClassByName["basket"] != 0 {
		t.Errorf("%+v %v", c, err)
	}
}

func TestNoListIsNoFault(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(good, `{"generation":41,"reset":true,"instances":[]}`, "null", 1)), none)
	if err != nil || c.KnownList != nil {
		t.Errorf("%s %v", c.KnownList, err)
	}
}

// TestKnownThatCantBeReadIsNoFault has the list as last held spoilt: it is handed on as it is, for the start to say so,
// and neither keeps a relay from starting nor holds up a move of discovery.
func TestKnownThatCantBeReadIsNoFault(t *testing.T) {
	raw := strings.Replace(good, `"generation":41`, `"generation":"x"`, 1)
	c, err := Parse([]byte(raw), none)
	if err != nil || !strings.Contains(string(c.KnownList), `"x"`) {
		t.Errorf("%s %v", c.KnownList, err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Reload(path, none); err != nil {
		t.Error("a move is held up:", err)
	}
}

func TestFaultsAreNamed(t *testing.T) {
	for _, c := range []struct{ from, to, names string }{
		{`"listen":"127.0.0.1:5433"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":""`, "discovery"},
		{`"peers":["127.0.0.1:7946"]`, `"peers":["x"]`, "peers"}, {"8c1f30d27a5be964", "xyz", "seed"},
		{`"memory_mb":192`, `"memory_mb":8`, "limits"}, {`"canary"`, `"flying"`, "platform.news"},
		{`[{"name":"basket","repeat":"retryable"}]`, `[]`, "settings"},
		{`"settings":{`, `"other":{`, "settings"}, {`"seed"`, `seed`, "invalid"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)), none)
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load("", none); err == nil {
		t.Error("no path was taken")
	}
	if _, err := Load(path, none); err == nil {
		t.Error("a missing file was taken")
	}
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, none); err != nil {
		t.Error(err)
	}
}
