package discovery

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"lichenroad/relay"
)

// encodeList returns an answer with the given number of endpoints. Their names and addresses are as long as those of a site
// with many services.
func encodeList(endpoints int, full bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"generation":41,"reset":%v,"instances":[`, full)
	for i := range endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"instanceId":"planner-%04d-%05d","hostPort":"10.%d.%d.%d:5433","zone":"zone-%d","machineType":"m%d","cell":%d,`+
			`"lifecycle":"SERVING","weight":1,"startedAtMs":1764651600000,"build":41}`,
			i%2100, i, i>>16, i>>8&255, i&255, i%16, i%4, i%8)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func newTestReader() *Reader {
	return NewReader(nil, nil, func(s float64) relay.Seconds { return s })
}

// BenchmarkParse parses full lists up to the largest that is accepted. The metric heap-B is the memory used by the parsed
// list.
func BenchmarkParse(b *testing.B) {
	for _, endpoints := range []int{300, 1024, 2048, 4096, 8192, maxEndpoints} {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			raw, reader := encodeList(endpoints, true), newTestReader()
			var list List
			before := heapInUse()
			for b.Loop() {
				var err error
				if list, err = reader.Parse(raw); err != nil || len(list.Endpoints) != endpoints {
					b.Fatal(len(list.Endpoints), err)
				}
			}
			b.ReportMetric(heapInUse()-before, "heap-B")
			b.ReportMetric(float64(len(raw)), "wire-B")
			runtime.KeepAlive(list)
			runtime.KeepAlive(raw)
		})
	}
}

// BenchmarkParseChanges parses answers to a watch with different numbers of changes.
func BenchmarkParseChanges(b *testing.B) {
	for _, changes := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			raw, reader := encodeList(changes, false), newTestReader()
			for b.Loop() {
				if _, err := reader.Parse(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "wire-B")
		})
	}
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
