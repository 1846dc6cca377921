package membership

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math"
	"reflect"
	"slices"
	"strings"
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
		t.Run(c.name, func(t *testing.T) {
			body := c.encode()
			if got := hex.EncodeToString(body); got != c.want {
				t.Errorf("encoded as %s, want %s", got, c.want)
			}
			if decoded, err := decode(body); err != nil || !reflect.DeepEqual(decoded, c.message) {
				t.Errorf("decoded as %+v, error %v; want %+v", decoded, err, c.message)
			}
		})
	}
}

// mustDecodeHex returns the bytes of a datagram given in hexadecimal.
func mustDecodeHex(t *testing.T, digits string) []byte {
	t.Helper()
	body, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestDecodeReportsTheFirstFault(t *testing.T) {
	const (
		version = "05" + "0000000000000000"
		times   = "00" + "00"
		header  = "4c06" + version + times
	)
	for name, c := range map[string]struct {
		datagram string
		want     error
	}{
		"empty":                        {"", errUnknownKind},
		"wrong magic byte":             {"4d05" + version + times, errUnknownKind},
		"unknown kind":                 {"4c07" + version + times, errUnknownKind},
		"datagram too long":            {"4c05" + version + times + strings.Repeat("00", maxDatagramBytes), errTooLong},
		"missing generation":           {"4c05", errTruncated},
		"truncated digest":             {"4c05" + "05" + "0000", errTruncated},
		"missing times":                {"4c05" + version, errTruncated},
		"trailing byte":                {"4c05" + version + times + "00", errTrailingBytes},
		"number in a long encoding":    {"4c05" + "8500" + "0000000000000000" + times, errBadNumber},
		"number above the int64 range": {"4c05" + "ffffffffffffffffff01" + "0000000000000000" + times, errBadNumber},
		"number above 64 bits":         {"4c05" + "ffffffffffffffffffff01" + "0000000000000000" + times, errBadNumber},
		"delta with zero parts":        {header + version + "000000", errBadPart},
		"part number out of range":     {header + version + "020200", errBadPart},
		"too many parts":               {header + version + "002100", errBadPart},
		"too many endpoints":           {header + version + "000119", errBadPart},
		"missing endpoints":            {header + version + "000101", errTruncated},
		"base newer than the target":   {header + "06" + "0000000000000000" + "000100", errBaseAfterDelta},
		"truncated before the parts":   {header + version, errTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(mustDecodeHex(t, c.datagram))
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func drawVersion(t *rapid.T, upperBound int64) listVersion {
	return listVersion{rapid.Int64Range(0, upperBound).Draw(t, "generation"), rapid.Uint64().Draw(t, "digest")}
}

// drawMessage draws the fields that heartbeats and deltas share.
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
			for range rapid.IntRange(0, maxDeltaEndpoints).Draw(t, "endpoints") {
				m.delta.endpoints = append(m.delta.endpoints, relay.EndpointID(rapid.Uint64().Draw(t, "endpoint")))
			}
		}
		body := m.encode()
		if decoded, err := decode(body); err != nil || !reflect.DeepEqual(decoded, m) {
			t.Fatalf("%+v was decoded as %+v, error %v", m, decoded, err)
		}
		if cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut"); len(body) > cut {
			if _, err := decode(body[:cut]); err == nil {
				t.Fatalf("a message truncated to %d of %d bytes was accepted", cut, len(body))
			}
		}
	})
}

func TestDatagramsOfAnyListAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		base := drawVersion(t, m.version.generation)
		count := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 2*maxDeltaParts*maxDeltaEndpoints)).Draw(t, "endpoints")
		endpoints := make([]relay.EndpointID, count)
		for i := range endpoints {
			endpoints[i] = relay.EndpointID(math.MaxUint64 - uint64(i))
		}
		var decoded []relay.EndpointID
		for _, d := range splitDelta(base, endpoints) {
			m.delta = &d
			body := m.encode()
			if len(body) > maxDatagramBytes {
				t.Fatalf("a datagram has %d bytes, want at most %d", len(body), maxDatagramBytes)
			}
			part, err := decode(body)
			if err != nil {
				t.Fatal(err)
			}
			decoded = append(decoded, part.delta.endpoints...)
		}
		if count > maxDeltaParts*maxDeltaEndpoints && decoded != nil {
			t.Fatalf("%d endpoints were encoded of a delta with %d, which is too long to send", len(decoded), count)
		} else if count <= maxDeltaParts*maxDeltaEndpoints && !slices.Equal(decoded, endpoints) {
			t.Fatalf("%d endpoints were decoded, want the same %d that were encoded", len(decoded), count)
		}
	})
}

// FuzzDecode checks that any input is either rejected, or decoded within the bounds of the format and encoded to the same
// bytes again.
func FuzzDecode(f *testing.F) {
	m := message{version: listVersion{300, 1}, answeredAt: 1_700_000_000_123, failedPollAt: 5}
	heartbeat := m.encode()
	f.Add(heartbeat)
	f.Add(heartbeat[:len(heartbeat)-1])
	f.Add(append(slices.Clone(heartbeat), 0))
	f.Add([]byte{messageMagic, kindHeartbeat, 0x80, 0x00, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0}) // generation not in its shortest encoding
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
			t.Fatalf("%x was encoded again as %x", body, again)
		}
		if len(body) > maxDatagramBytes || m.version.generation < 0 || m.answeredAt > math.MaxInt64 || m.failedPollAt > math.MaxInt64 {
			t.Fatalf("message out of bounds: %+v", m)
		}
		if d := m.delta; d != nil && (d.base.generation < 0 || d.base.generation > m.version.generation || d.parts < 1 ||
			d.parts > maxDeltaParts || d.part < 0 || d.part >= d.parts || len(d.endpoints) > maxDeltaEndpoints) {
			t.Fatalf("delta out of bounds: %+v", d)
		}
	})
}
