package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// wire is the layout of the JSON file. Its nested structs are anonymous because encoding/json would include the names of
// their types in its error texts.
type wire struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
	Platform   struct {
		Address       string                     `json:"address"`
		RolloutStatus map[string]json.RawMessage `json:"news"`
	} `json:"platform"`
	KnownList json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

const defaultCores = 1

// Parse parses and validates a configuration. The error joins all faults that were found.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var w wire
	if err := json.Unmarshal(raw, &w); err != nil {
		return Config{}, err
	}
	overrideIfSet(&w.Name, getenv(envName))
	overrideIfSet(&w.Listen, getenv(envListen))
	overrideIfSet(&w.Discovery, getenv(envDiscovery))
	p := parser{wire: &w}
	p.addresses()
	p.seed()
	p.limits()
	p.site()
	p.rolloutStatus()
	p.knownList()
	return p.config, errors.Join(p.faults...)
}

// overrideIfSet replaces a value of the file if the environment variable is set.
func overrideIfSet(value *string, fromEnvironment string) {
	if fromEnvironment != "" {
		*value = fromEnvironment
	}
}

// parser converts the file to a Config, one section at a time, and collects the faults.
type parser struct {
	wire   *wire
	config Config
	faults []error
}

func (p *parser) addFault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Errorf(format, args...))
}

func (p *parser) addresses() {
	p.config.Name = p.wire.Name
	p.config.Listen = p.requiredAddress("listen", p.wire.Listen)
	p.config.Discovery = p.requiredAddress("discovery", p.wire.Discovery)
	p.config.PeerListen = p.optionalAddress("peer_listen", p.wire.PeerListen)
	p.config.PeersAll = p.optionalAddress("peers_all", p.wire.PeersAll)
	p.config.Platform = p.optionalAddress("platform.address", p.wire.Platform.Address)
	for _, peer := range p.wire.Peers {
		p.requiredAddress("peers", peer)
	}
	p.config.Peers = p.wire.Peers
}

func (p *parser) requiredAddress(name, address string) string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.addFault("%s: %q is not an IP address with a port", name, address)
	}
	return address
}

func (p *parser) optionalAddress(name, address string) string {
	if address == "" {
		return ""
	}
	return p.requiredAddress(name, address)
}

func (p *parser) seed() {
	if p.wire.Seed == "" {
		return
	}
	seed, err := strconv.ParseUint(p.wire.Seed, 16, 64)
	if err != nil {
		p.addFault("seed: %q is not a hexadecimal number of up to 64 bits", p.wire.Seed)
	}
	p.config.Seed = int64(seed)
}

func (p *parser) limits() {
	p.config.Cores = p.wire.Limits.Cores
	if p.config.Cores <= 0 {
		p.config.Cores = defaultCores
	}
	p.config.MemoryMB = int64(p.wire.Limits.MemoryMB)
	if p.config.MemoryMB == 0 {
		p.config.MemoryMB = limits.DefaultMemoryMB
	}
	p.config.Sockets = p.wire.Limits.Sockets
	if p.config.Sockets == 0 {
		p.config.Sockets = limits.DefaultDescriptors
	}
	if p.config.MemoryMB < limits.MinMemoryMB || p.config.Sockets < limits.MinDescriptors {
		p.addFault("limits: at least %d MB of memory and %d sockets are needed", limits.MinMemoryMB, limits.MinDescriptors)
	}
}

func (p *parser) site() {
	if len(p.wire.Settings) == 0 {
		p.addFault("settings: missing")
		return
	}
	site, err := settings.Parse(p.wire.Settings)
	if err != nil {
		p.addFault("%w", err)
		return
	}
	if len(site.ClassByName) == 0 {
		p.addFault("settings: no request classes (grades)")
	}
	p.config.Site = site
}

func (p *parser) rolloutStatus() {
	if len(p.wire.Platform.RolloutStatus) == 0 {
		return
	}
	status, err := parseRolloutStatus(p.wire.Platform.RolloutStatus)
	if err != nil {
		p.addFault("platform.news: %w", err)
	}
	p.config.RolloutStatus = status
}

// parseRolloutStatus parses a rollout status whose fields are JSON numbers or strings.
func parseRolloutStatus(fields map[string]json.RawMessage) (relay.RolloutStatus, error) {
	text := func(name string) string {
		var s string
		if json.Unmarshal(fields[name], &s) == nil {
			return s
		}
		return string(fields[name])
	}
	return linewire.StatusFields{
		Build:           text("image"),
		Stage:           text("ring"),
		Phase:           text("progress"),
		ExposureLimit:   text("ceiling"),
		AgeMilliseconds: text("lag_ms"),
	}.Parse()
}

// knownList copies the last known endpoint list without parsing it. A malformed list is reported at start, but prevents
// neither the start nor a reload.
func (p *parser) knownList() {
	if string(p.wire.KnownList) != "null" {
		p.config.KnownList = p.wire.KnownList
	}
}
