package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/clients"
	"lichenroad/internal/config"
	"lichenroad/internal/peers"
	"lichenroad/internal/platform"
	"lichenroad/internal/roster"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
	"lichenroad/internal/units"
	"lichenroad/relay"
)

// How the limits are divided.
const (
	spareSockets = 64   // descriptors for discovery, platform, peers, the poller, and clients told that it is full
	unitPart     = 0.5  // of the other descriptors that units get: each open query has one leg, hardly ever two
	heapPart     = 0.7  // of the memory at which the collector works harder: the rest is stacks and the sockets' own
	bufferPart   = 0.25 // of the memory that buffers may hold
	lastWait     = 0.5  // s beyond the longest patience after which the program ends whatever is open
	leastWait    = 3.0  // s of patience that are counted where the settings' is shorter, as the platform does
)

// serve runs a relay until it is told to end.
func serve(c config.Config, log *logrus.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB<<20)))
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log.WriterLevel(logrus.DebugLevel)}); err != nil {
		return err
	}
	counters := &stats.Counters{}
	pool := buffer.NewPool(int64(bufferPart * float64(c.MemoryMB<<20)))
	loop := stage.NewLoop(c.Site, c.Seed, pool, counters, log)
	sockets := c.Sockets - spareSockets
	forUnits := int(unitPart * float64(sockets))
	legs := units.New(loop, forUnits)
	reader := roster.NewReader(c.Site.Zones, c.Site.Kinds, loop.Clock.Unix)
	asker := roster.New(loop, c.Discovery, reader, legs.Name)
	desk := platform.New(loop, c.Platform)
	loop.Units, loop.Roster, loop.Platform = legs, asker, desk
	if c.PeerListen != "" {
		tier, err := peers.Open(loop, c.PeerListen, c.Peers, c.PeersAll)
		if err != nil {
			return err
		}
		loop.Peers = tier
		tier.Start()
	} else {
		loop.Peers = noPeers{counters}
	}

	// The module's first step sees the list as last held, then where the newest build stands.
	known, err := reader.Parse(c.Known)
	if err != nil {
		known = roster.List{Generation: -1}
		log.WithField("peer", "roster").Warn("no list to start with")
	}
	asker.Known(known)
	if c.News.Valid {
		loop.Post(stage.Call(func(l *stage.Loop) { l.Learn(c.News) }))
	}
	asker.Start()
	desk.Start()
	front := clients.New(loop, sockets-forUnits)
	if err := front.Listen(c.Listen); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen}).Info("serving")

	stop := make(chan struct{})
	go signals(c, loop, front, stop)
	loop.Run(stop)
	log.Info("counters " + counters.Line())
	return nil
}

// signals ends the program gently at the first SIGTERM or interrupt and at once at the second, and prints
// the counters on SIGUSR1.
func signals(c config.Config, loop *stage.Loop, front *clients.Server, stop chan struct{}) {
	got := make(chan os.Signal, 4)
	signal.Notify(got, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	end := sync.OnceFunc(func() { close(stop) })
	ending := false
	for s := range got {
		switch {
		case s == syscall.SIGUSR1:
			loop.Log.Info("counters " + loop.Stats.Line())
		case ending:
			end()
		default:
			ending = true
			loop.Log.WithField("signal", s.String()).Info("ending")
			longest := leastWait
			for _, t := range c.Site.Settings.Categories {
				longest = max(longest, t.Patience)
			}
			loop.Post(stage.Call(func(l *stage.Loop) {
				front.Stop(end)
				l.At(l.Clock.Now()+longest+lastWait, end)
			}))
		}
	}
}

// noPeers stands in where the configuration names no address for memos.
type noPeers struct{ counters *stats.Counters }

func (n noPeers) Tell(relay.Tell) { n.counters.Add(stats.MemosDropped, 1) }
