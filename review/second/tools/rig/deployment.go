//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// deployment is a small deployment: relays with their units, discovery, platform and messages between relays.
type deployment struct {
	*fleet
	disc    *discovery
	plats   []*platform
	hub     *hub
	relays  []*process
	configs []object
	listens []string
}

// newDeployment starts relays that are ready to serve. change may change the settings before they start.
func (r *rig) newDeployment(relays, units int, news state, change func(settings object)) (*deployment, error) {
	f, err := r.newFleet(units, news.build)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f}
	if d.disc, err = r.newDiscovery("a", f.list); err != nil {
		return nil, err
	}
	peerListens, err := freeUDPAddresses(relays)
	if err != nil {
		return nil, err
	}
	if d.hub, err = newHub(peerListens); err != nil {
		return nil, err
	}
	for i := range relays {
		plat, err := r.newPlatform(fmt.Sprintf("p%d", i), news)
		if err != nil {
			return nil, err
		}
		listen := freeAddress()
		config := relayConfig(listen, d.disc.address(), plat.address(), newsObject(news))
		name := fmt.Sprintf("n%d", i)
		config["name"], config["peer_listen"], config["peers"], config["peers_all"] = name, peerListens[i], d.hub.peers(), d.hub.allAddress()
		settings := config["settings"].(object)
		settings["my_number"], settings["replicas_of_me"], settings["az"] = i, relays, i%2
		if change != nil {
			change(settings)
		}
		relay, err := r.startRelay(name, config)
		if err != nil {
			return nil, err
		}
		d.plats, d.listens, d.configs, d.relays = append(d.plats, plat), append(d.listens, listen), append(d.configs, config), append(d.relays, relay)
	}
	for i, relay := range d.relays {
		if err := r.serveUp(d.listens[i], relay); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// reload writes a new configuration for each relay and sends SIGHUP.
func (d *deployment) reload(change func(config object)) error {
	for i, config := range d.configs {
		change(config)
		if err := writeConfig(filepath.Join(d.r.dir, config["name"].(string)+".json"), config); err != nil {
			return err
		}
		d.relays[i].signal(syscall.SIGHUP)
	}
	d.r.log("SIGHUP to all relays")
	return nil
}

// close ends the old address: it takes no new connection and closes the open ones.
func (d *discovery) close() {
	_ = d.server.Close()
	d.r.log("discovery %s: closed", d.name)
}

func (d *discovery) stopAccepting() {
	_ = d.listener.Close()
	d.r.log("discovery %s: takes no new connection", d.name)
}

// stableState is that of a build which was released long ago.
func stableState(build int) state {
	return state{build, 3, "stable", 1, time.Now().Add(-100 * time.Second)}
}
