package settings

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkParse parses settings with up to 270000 tenants. heap-B is the heap that the parsed settings occupy, wire-B the
// length of their JSON text.
func BenchmarkParse(b *testing.B) {
	for _, tenants := range []int{1000, 10_000, 50_000, 120_000, 270_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			var raw bytes.Buffer
			raw.WriteString(`{"tenants":[`)
			for i := range tenants {
				if i > 0 {
					raw.WriteByte(',')
				}
				fmt.Fprintf(&raw, `{"name":"tenant-%06d","share":%.9f,"quota_per_s":10}`, i, 1/float64(tenants))
			}
			raw.WriteString(`],"grades":[{"name":"basket"}]}`)
			var site Site
			before := heapInUse()
			for b.Loop() {
				var err error
				if site, err = Parse(raw.Bytes()); err != nil || len(site.Tenants) != tenants {
					b.Fatal(len(site.Tenants), err)
				}
			}
			b.ReportMetric(heapInUse()-before, "heap-B")
			b.ReportMetric(float64(raw.Len()), "wire-B")
			runtime.KeepAlive(site)
			runtime.KeepAlive(&raw)
		})
	}
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
