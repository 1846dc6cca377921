package upstream

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

var listSizes = []int{300, 1000, 2048, 4096, 8192, 12_000, 20_000, 30_000, 42_000}

// BenchmarkListed lists all endpoints to the pool one by one, as happens for a full endpoint list. heap-B is the heap
// in bytes that the pool then holds without any connection.
func BenchmarkListed(b *testing.B) {
	for _, units := range listSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			names, addresses := make([]string, units), make([]string, units)
			for i := range units {
				names[i], addresses[i] = fmt.Sprintf("planner-%04d-%05d", i%2100, i), fmt.Sprintf("10.%d.%d.%d:5433", i>>16, i>>8&255, i&255)
			}
			p := emptyPool()
			before := heapInUse()
			for b.Loop() {
				for i := range units {
					p.EndpointListed(relay.Endpoint{ID: relay.EndpointID(i), Build: 41}, names[i], addresses[i])
				}
			}
			b.ReportMetric(heapInUse()-before, "heap-B")
			runtime.KeepAlive(p)
			runtime.KeepAlive(names)
			runtime.KeepAlive(addresses)
		})
	}
}

// emptyPool returns a pool without endpoints.
func emptyPool() *Pool {
	site := settings.Site{}
	site.Relays = 1
	site.Classes = make([]relay.ClassSettings, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log), 4)
}

// heapInUse returns the bytes of live heap objects, after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
