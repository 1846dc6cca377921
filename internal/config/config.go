// Package config reads the JSON configuration of a relay, at start and on a reload: addresses, limits of the process, the
// status of the current rollout, the last known endpoint list and the site's settings.
//
// A Config must not be changed after it was read. The package has no state. From this module it imports limits, linewire,
// settings and relay.
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

// Environment variables that override values of the file.
const (
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// Config is the complete configuration of one relay. Addresses consist of an IP address and a port.
type Config struct {
	Name          string
	Listen        string // address on which clients connect
	Discovery     string // address of discovery
	Seed          int64  // of all random numbers
	Cores         float64
	MemoryMB      int64
	Sockets       int
	PeerListen    string              // address on which messages from other relays are received; empty: none are received
	Peers         []string            // addresses of other relays
	PeersAll      string              // address that reaches all other relays with one datagram; empty: none
	Platform      string              // address of the rollout platform; empty: none
	RolloutStatus relay.RolloutStatus // its field Valid is false if the configuration holds no status
	KnownList     json.RawMessage     // the last known endpoint list, not parsed; nil: none
	Site          settings.Site
}

// errNoPath is the error that Load returns for an empty path.
var errNoPath = errors.New("no configuration file given: set BALANCER_CONFIG or --config")

// Load reads a configuration from a file. getenv looks up environment variables.
func Load(path string, getenv func(string) string) (Config, error) {
	if path == "" {
		return Config{}, errNoPath
	}
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, err
	}
	if info.Size() > limits.MaxConfigBytes {
		return Config{}, fmt.Errorf("%s: configuration is larger than %d bytes", path, limits.MaxConfigBytes)
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

// Reload reads the file again for a running relay. It ignores the environment's address of discovery, which applies only at
// start, and takes the one in the file.
func Reload(path string, getenv func(string) string) (Config, error) {
	return Load(path, func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// NeedRestart returns the names of the parts that differ in the next configuration and take effect only after a restart.
// The seed and the last known list are left out, as they are only used at start.
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
