// Package config reads what a relay is told at its start, and again at a reload.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Config is the whole configuration of one relay.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          int64
	Cores         float64
	MemoryMB      int64
	Sockets       int
	PeerListen    string
	Peers         []string
	PeersAll      string
	Platform      string
	RolloutStatus relay.RolloutStatus // Valid where the configuration holds news
	KnownList     json.RawMessage     // the list as last held
	Site          settings.Site
}

type wire struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
	Platform   struct {
		Address string                     `json:"address"`
		News    map[string]json.RawMessage `json:"news"`
	} `json:"platform"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads a file; the variables of the environment, looked up by env, come before what it says.
func Load(path string, env func(string) string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("no configuration named: set BALANCER_CONFIG or --config")
	}
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, err
	}
	if info.Size() > limits.MaxConfigBytes {
		return Config{}, fmt.Errorf("%s: over %d bytes", path, limits.MaxConfigBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := Parse(raw, env)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again, for a relay that runs. The discovery that the environment names was that of the
// start: the address in the file holds now.
func Reload(path string, env func(string) string) (Config, error) {
	return Load(path, func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// NeedRestart names what differs in the next configuration and only holds from the next start on. The seed and
// the list as last held belong to a start alone, so they are not named.
func (c Config) NeedRestart(next Config) []string {
	var names []string
	differ := func(name string, is bool) {
		if is {
			names = append(names, name)
		}
	}
	differ("name", c.Name != next.Name)
	differ("listen", c.Listen != next.Listen)
	differ("limits", c.Cores != next.Cores || c.MemoryMB != next.MemoryMB || c.Sockets != next.Sockets)
	differ("peers", c.PeerListen != next.PeerListen || c.PeersAll != next.PeersAll || !slices.Equal(c.Peers, next.Peers))
	differ("platform.address", c.Platform != "" && next.Platform == "")
	differ("settings", !reflect.DeepEqual(c.Site, next.Site))
	return names
}

// Parse reads a configuration and checks it.
func Parse(raw []byte, env func(string) string) (Config, error) {
	var w wire
	if err := json.Unmarshal(raw, &w); err != nil {
		return Config{}, err
	}
	for name, to := range map[string]*string{"BALANCER_NAME": &w.Name, "BALANCER_LISTEN": &w.Listen,
		"BALANCER_DISCOVERY": &w.Discovery} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	c := Config{Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, Cores: w.Limits.Cores,
		MemoryMB: int64(w.Limits.Memory), Sockets: w.Limits.Sockets, PeerListen: w.PeerListen, Peers: w.Peers,
		PeersAll: w.PeersAll, Platform: w.Platform.Address, KnownList: w.Known}
	if c.MemoryMB == 0 {
		c.MemoryMB = limits.DefaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = limits.DefaultDescriptors
	}
	if c.Cores <= 0 {
		c.Cores = 1
	}
	var faults []error
	fault := func(format string, a ...any) { faults = append(faults, fmt.Errorf(format, a...)) }
	address := func(what, s string, needed bool) {
		if _, err := netip.ParseAddrPort(s); err != nil && (needed || s != "") {
			fault("%s: %q is no address with a port", what, s)
		}
	}
	address("listen", c.Listen, true)
	address("discovery", c.Discovery, true)
	address("peer_listen", c.PeerListen, false)
	address("peers_all", c.PeersAll, false)
	address("platform.address", c.Platform, false)
	for _, p := range c.Peers {
		address("peers", p, true)
	}
	if w.Seed != "" {
		seed, err := strconv.ParseUint(w.Seed, 16, 64)
		if err != nil {
			fault("seed: %q is no number in hex", w.Seed)
		}
		c.Seed = int64(seed)
	}
	if c.MemoryMB < limits.MinMemoryMB || c.Sockets < limits.MinDescriptors {
		fault("limits: less than %d MB or %d sockets", limits.MinMemoryMB, limits.MinDescriptors)
	}
	var err error
	if len(w.Settings) == 0 {
		fault("settings: missing")
	} else if c.Site, err = settings.Parse(w.Settings); err != nil {
		fault("%w", err)
	} else if len(c.Site.ClassByName) == 0 {
		fault("settings: no categories (grades)")
	}
	if len(w.Platform.News) > 0 {
		if c.RolloutStatus, err = news(w.Platform.News); err != nil {
			fault("platform.news: %w", err)
		}
	}
	if string(c.KnownList) == "null" {
		c.KnownList = nil
	}
	return c, errors.Join(faults...)
}

// news reads the state of a build, whose fields may be numbers or text.
func news(fields map[string]json.RawMessage) (relay.RolloutStatus, error) {
	word := func(name string) string {
		var s string
		if json.Unmarshal(fields[name], &s) == nil {
			return s
		}
		return string(fields[name])
	}
	return linewire.ParseStatus(word("image"), word("ring"), word("progress"), word("ceiling"), word("lag_ms"))
}
