// Package config reads the JSON configuration of a relay, at its start and again at a reload: addresses, limits of the
// process, the status of the current rollout, the last known endpoint list and the site's settings.
//
// A Config is data that nobody changes once it was read; the package holds no state. It imports limits, linewire, settings
// and relay.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"

	"lichenroad/internal/limits"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Variables of the environment that come before what the file says.
const (
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// Config is the whole configuration of one relay. Addresses are an IP address and a port.
type Config struct {
	Name          string
	Listen        string // address for clients
	Discovery     string // address of discovery
	Seed          int64  // of all random draws
	Cores         float64
	MemoryMB      int64
	Sockets       int
	PeerListen    string              // address for messages of other relays; empty: none are taken
	Peers         []string            // addresses of other relays
	PeersAll      string              // address that reaches all of them with one datagram; empty: there is none
	Platform      string              // address of the rollout platform; empty: there is none
	RolloutStatus relay.RolloutStatus // Valid where the configuration holds one
	KnownList     json.RawMessage     // the last known endpoint list, not parsed; nil: none
	Site          settings.Site
}

// errNoPath is the error of Load without a path.
var errNoPath = errors.New("no configuration named: set BALANCER_CONFIG or --config")

// Load reads a configuration from a file. getenv looks up variables of the environment.
func Load(path string, getenv func(string) string) (Config, error) {
	if path == "" {
		return Config{}, errNoPath
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
	c, err := Parse(raw, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again, for a relay that runs. The environment's address of discovery was that of the start: the
// one in the file holds now.
func Reload(path string, getenv func(string) string) (Config, error) {
	return Load(path, func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// NeedRestart names what differs in the next configuration and only takes effect at the next start. The seed and the last
// known list are used at a start alone, so they are not named.
func (c Config) NeedRestart(next Config) []string {
	limitsDiffer := c.Cores != next.Cores || c.MemoryMB != next.MemoryMB || c.Sockets != next.Sockets
	peersDiffer := c.PeerListen != next.PeerListen || c.PeersAll != next.PeersAll || !slices.Equal(c.Peers, next.Peers)
	var names []string
	for _, part := range []struct {
		name   string
		differ bool
	}{
		{"name", c.Name != next.Name},
		{"listen", c.Listen != next.Listen},
		{"limits", limitsDiffer},
		{"peers", peersDiffer},
		{"platform.address", c.Platform != "" && next.Platform == ""},
		{"settings", !reflect.DeepEqual(c.Site, next.Site)},
	} {
		if part.differ {
			names = append(names, part.name)
		}
	}
	return names
}
