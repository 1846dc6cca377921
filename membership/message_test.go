package membership

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

func TestBytesOfMessages(t *testing.T) {
	latest, base := listVersion{300, 0x0102030405060708}, listVersion{299, 0xa0}
	for _, c := range []struct {
		name string
		message
		want string
	}{
		{"heartbeat", message{version: latest, answeredAt: 1_700_000_000_123},
			"4c05" + "ac02" + "0807060504030201" + "fbd095ffbc31" + "00"},
		{"delta", message{version: latest, answeredAt: 1000, failedPollAt: 2000, delta: &delta{base, 1, 2, []relay.EndpointID{7, 0xff00}}},
			"4c06" + "ac02" + "0807060504030201" + "e807" + "d00f" + "ab02" + "a000000000000000" + "010202" +
				"0700000000000000" + "00ff000000000000"},
	} {
		body := c.encode()
		if got := hex.EncodeToString(body); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if back, err := decode(body); err != nil || !reflect.DeepEqual(back, c.message) {
			t.Errorf("%s: %+v, %v", c.name, back, err)
		}
	}
}

func drawVersion(t *rapid.T, upperBound int64) listVersion {
	return listVersion{rapid.Int64Range(0, upperBound).Draw(t, "generation"), rapid.Uint64().Draw(t, "digest")}
}

// drawMessage draws a heartbeat, or a delta without its part.
func drawMessage(t *rapid.T) message {
	m := message{version: drawVersion(t, math.MaxInt64)}
	m.answeredAt = uint64(rapid.Int64Range(0, math.MaxInt64).Draw(t, "answered"))
	m.failedPollAt = uint64(rapid.Int64Range(0, math.MaxInt64).Draw(t, "attempted"))
	return m
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		if rapid.Bool().Draw(t, "delta") {
			parts := rapid.IntRange(1, maxDeltaParts).Draw(t, "parts")
			m.delta = &delta{base: drawVersion(t, m.version.generation), part: rapid.IntRange(0, parts-1).Draw(t, "part"), parts: parts}
			for range rapid.IntRange(0, maxDeltaEndpoints).Draw(t, "units") {
				m.delta.endpoints = append(m.delta.endpoints, relay.EndpointID(rapid.Uint64().Draw(t, "unit")))
			}
		}
		body := m.encode()
		if back, err := decode(body); err != nil || !reflect.DeepEqual(back, m) {
			t.Fatalf("%+v became %+v, %v", m, back, err)
		}
		if cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut"); len(body) > cut {
			if _, err := decode(body[:cut]); err == nil {
				t.Fatalf("the first %d of %d bytes were read", cut, len(body))
			}
		}
	})
}

func TestDatagramsOfAnyListAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		base := drawVersion(t, m.version.generation)
		count := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 2*maxDeltaParts*maxDeltaEndpoints)).Draw(t, "units")
		endpoints := make([]relay.EndpointID, count)
		for i := range endpoints {
			endpoints[i] = relay.EndpointID(math.MaxUint64 - uint64(i))
		}
		var reported []relay.EndpointID
		for _, d := range splitDelta(base, endpoints) {
			m.delta = &d
			if body := m.encode(); len(body) > maxDatagramBytes {
				t.Fatalf("a datagram of %d bytes", len(body))
			} else if back, err := decode(body); err != nil {
				t.Fatal(err)
			} else {
				reported = append(reported, back.delta.endpoints...)
			}
		}
		if count > maxDeltaParts*maxDeltaEndpoints && reported != nil {
			t.Fatalf("%d units of %d were told", len(reported), count)
		} else if count <= maxDeltaParts*maxDeltaEndpoints && !slices.Equal(reported, endpoints) {
			t.Fatalf("%d units were told, want %d", len(reported), count)
		}
	})
}

// FuzzDecode holds that anything is either refused or a message with these very bytes, within its bounds.
func FuzzDecode(f *testing.F) {
	m := message{version: listVersion{300, 1}, answeredAt: 1_700_000_000_123, failedPollAt: 5}
	heartbeat := m.encode()
	f.Add(heartbeat)
	f.Add(heartbeat[:len(heartbeat)-1])
	f.Add(append(slices.Clone(heartbeat), 0))
	f.Add([]byte{messageMagic, kindHeartbeat, 0x80, 0x00, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0}) // a generation of more bytes than it needs
	f.Add(append([]byte{messageMagic, kindHeartbeat}, binary.AppendUvarint(nil, math.MaxUint64)...))
	for _, endpoints := range []int{0, 1, maxDeltaEndpoints, maxDeltaEndpoints + 1} {
		m.delta = &delta{listVersion{299, 2}, 0, 1, make([]relay.EndpointID, endpoints)}
		f.Add(m.encode())
	}
	for _, d := range []delta{{listVersion{301, 2}, 0, 1, nil}, {listVersion{1, 2}, 1, 1, nil}, {listVersion{1, 2}, 0, 0, nil}, {listVersion{1, 2}, 0, maxDeltaParts + 1, nil}} {
		m.delta = &d
		f.Add(m.encode())
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decode(body)
		if err != nil {
			return
		}
		if again := m.encode(); !bytes.Equal(again, body) {
			t.Fatalf("%x became %x", body, again)
		}
		if len(body) > maxDatagramBytes || m.version.generation < 0 || m.answeredAt > math.MaxInt64 || m.failedPollAt > math.MaxInt64 {
			t.Fatalf("out of bounds: %+v", m)
		}
		if d := m.delta; d != nil && (d.base.generation < 0 || d.base.generation > m.version.generation || d.parts < 1 ||
			d.parts > maxDeltaParts || d.part < 0 || d.part >= d.parts || len(d.endpoints) > maxDeltaEndpoints) {
			t.Fatalf("out of bounds: %+v", d)
		}
	})
}
