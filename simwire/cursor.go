package simwire

import (
	"encoding/binary"
	"math"
)

const (
	endpointBytes = 6  // size of an endpoint id: an IPv4 address in big-endian order and a port in little-endian order
	addressShift  = 16 // bits of the port, which is the lower part of a decoded endpoint id
)

// cursor decodes the fields of a body one after the other. A read past the end of the body sets overrun; from then on all
// reads return zero values.
type cursor struct {
	body    []byte
	at      int
	overrun bool
}

func (c *cursor) bytes(n int) []byte {
	if c.overrun || n < 0 || n > len(c.body)-c.at {
		c.overrun = true
		return nil
	}
	field := c.body[c.at : c.at+n]
	c.at += n
	return field
}

func (c *cursor) u8() uint8 {
	if b := c.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) endpoint() uint64 {
	if b := c.bytes(endpointBytes); b != nil {
		return uint64(binary.BigEndian.Uint32(b))<<addressShift | uint64(binary.LittleEndian.Uint16(b[4:]))
	}
	return 0
}

func (c *cursor) loadReport() []float32 {
	count := int(c.u8())
	if count == 0 {
		return nil
	}
	report := make([]float32, 0, count)
	for i := 0; i < count && !c.overrun; i++ {
		report = append(report, c.f32())
	}
	return report
}
