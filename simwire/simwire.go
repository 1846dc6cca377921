// Package simwire decodes and encodes the frames of the simulator's pipe. It decides nothing: what
// comes in is handed over as it stands, in nanoseconds of the simulator's clock.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Event codes.
const (
	EvMessage   = 1
	EvStage     = 2
	EvTally     = 3
	EvStart     = 4
	EvStop      = 5
	EvLegEnded  = 6
	EvQuery     = 7
	EvProbed    = 8
	EvRoster    = 9
	EvWoken     = 10
	EvWrong     = 11
	EvLeft      = 12
	EvList      = 13
	EvStreaming = 14
)

// ErrMalformed is wrapped by every complaint about a frame's content.
var ErrMalformed = errors.New("malformed frame")

// Entry is one unit of a numbered list.
type Entry struct {
	Zone, Kind, Cell uint16
	Build, Weight    float32
	State            uint8
	StartedAt        uint64
	Unit             uint64
}

// Event is one record; only the fields of its Code are set. Slices are valid until the next Read.
type Event struct {
	Code       uint8
	Instance   uint16
	Seed       uint64
	Body       []byte // settings or message
	Ref        uint32
	Form       uint8
	Entries    []Entry
	Query      uint32
	Deadline   uint64
	Work       uint64
	Bits       uint8
	Key        uint64
	Customer   uint32
	Category   uint16
	Leg        uint8
	Unit       uint64
	Outcome    uint8
	Took       uint64
	Ended      uint8
	Report     []float32
	Token      uint64
	From       uint32
	Cap        float32
	Phase      uint8
	Unasked    uint8
	Build      uint16
	Stage      uint8
	Age        uint64
	Count, Bad uint32
}

// Reader reads batches.
type Reader struct {
	src  *bufio.Reader
	body []byte
	evs  []Event
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{src: bufio.NewReaderSize(r, 1<<16)} }

const maxFrame = 1 << 30

// Read returns the next batch: its clock and its events. At a clean end of input it returns io.EOF.
func (r *Reader) Read() (clock uint64, evs []Event, err error) {
	var head [12]byte
	if _, err := io.ReadFull(r.src, head[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("%w: short header: %w", ErrMalformed, err)
	}
	n := binary.LittleEndian.Uint32(head[0:])
	clock = binary.LittleEndian.Uint64(head[4:])
	if n > maxFrame {
		return 0, nil, fmt.Errorf("%w: a body of %d bytes", ErrMalformed, n)
	}
	if cap(r.body) < int(n) {
		r.body = make([]byte, 0, n+n/2)
	}
	r.body = r.body[:n]
	if _, err := io.ReadFull(r.src, r.body); err != nil {
		return 0, nil, fmt.Errorf("%w: short body: %w", ErrMalformed, err)
	}
	evs, err = decode(r.body, r.evs[:0])
	r.evs = evs
	return clock, evs, err
}

// cursor walks over a body; once it has run past the end, bad stays set.
type cursor struct {
	b   []byte
	at  int
	bad bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || n < 0 || n > len(c.b)-c.at {
		c.bad = true
		return nil
	}
	s := c.b[c.at : c.at+n]
	c.at += n
	return s
}

func (c *cursor) u8() uint8 {
	if s := c.take(1); s != nil {
		return s[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if s := c.take(2); s != nil {
		return binary.LittleEndian.Uint16(s)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if s := c.take(4); s != nil {
		return binary.LittleEndian.Uint32(s)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if s := c.take(8); s != nil {
		return binary.LittleEndian.Uint64(s)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) unit() uint64 {
	if s := c.take(6); s != nil {
		return uint64(binary.BigEndian.Uint32(s))<<16 | uint64(binary.LittleEndian.Uint16(s[4:]))
	}
	return 0
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	out := make([]float32, 0, n)
	for i := 0; i < n && !c.bad; i++ {
		out = append(out, c.f32())
	}
	return out
}

func decode(body []byte, evs []Event) ([]Event, error) {
	c := &cursor{b: body}
	for c.at < len(body) {
		start := c.at
		e := Event{Code: c.u8()}
		if e.Code != EvList {
			e.Instance = c.u16()
		}
		switch e.Code {
		case EvMessage:
			e.From = c.u32()
			e.Body = c.take(int(c.u16()))
		case EvStage:
			e.Cap, e.Phase, e.Unasked, e.Build = c.f32(), c.u8(), c.u8(), c.u16()
			e.Stage, e.Age, e.Outcome = c.u8(), c.u64(), c.u8()
		case EvTally:
			e.Build, e.Category, e.Count, e.Bad = c.u16(), c.u16(), c.u32(), c.u32()
			e.Took, e.Age = c.u64(), c.u64()
		case EvStart:
			e.Seed = c.u64()
			e.Body = c.take(int(c.u32()))
		case EvStop:
		case EvLegEnded:
			e.Query, e.Leg, e.Unit, e.Outcome = c.u32(), c.u8(), c.unit(), c.u8()
			e.Took, e.Ended, e.Report = c.u64(), c.u8(), c.report()
		case EvQuery:
			e.Query, e.Deadline, e.Work, e.Bits = c.u32(), c.u64(), c.u64(), c.u8()
			e.Key, e.Customer, e.Category = c.u64(), c.u32(), c.u16()
		case EvProbed:
			e.Unit, e.Took, e.Outcome, e.Report = c.unit(), c.u64(), c.u8(), c.report()
		case EvRoster:
			c.u32() // version: events come in sequence, nothing skipped
			e.Ref, e.Form = c.u32(), c.u8()
		case EvWoken:
			e.Token = c.u64()
		case EvWrong:
			e.Category, e.Unit, e.Age = c.u16(), c.unit(), c.u64()
		case EvLeft:
			e.Query = c.u32()
		case EvList:
			e.Ref = c.u32()
			n := int(c.u32())
			for i := 0; i < n && !c.bad; i++ {
				e.Entries = append(e.Entries, Entry{Zone: c.u16(), Kind: c.u16(), Cell: c.u16(),
					Build: c.f32(), Weight: c.f32(), State: c.u8(), StartedAt: c.u64(), Unit: c.unit()})
			}
		case EvStreaming:
			e.Query, e.Leg, e.Unit, e.Took = c.u32(), c.u8(), c.unit(), c.u64()
		default:
			return evs, fmt.Errorf("%w: unknown code %d at byte %d", ErrMalformed, e.Code, start)
		}
		if c.bad {
			return evs, fmt.Errorf("%w: record %d at byte %d runs past the end", ErrMalformed, e.Code, start)
		}
		evs = append(evs, e)
	}
	return evs, nil
}

// Writer collects one reply and writes it with one flush.
type Writer struct {
	dst   *bufio.Writer
	buf   []byte
	count uint32
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{dst: bufio.NewWriterSize(w, 1<<16)} }

// Flush sends the reply collected so far and starts the next.
func (w *Writer) Flush() error {
	var head [8]byte
	binary.LittleEndian.PutUint32(head[0:], w.count)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(w.buf)))
	_, err1 := w.dst.Write(head[:])
	_, err2 := w.dst.Write(w.buf)
	w.buf, w.count = w.buf[:0], 0
	if err := errors.Join(err1, err2, w.dst.Flush()); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (w *Writer) start(code uint8, inst uint16) {
	w.count++
	w.buf = append(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint16(w.buf, inst)
}

func (w *Writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

func (w *Writer) unit(v uint64) {
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(v>>16))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(v))
}

func (w *Writer) bytes(b []byte) {
	if len(b) > math.MaxUint16 {
		b = b[:math.MaxUint16]
	}
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(b)))
	w.buf = append(w.buf, b...)
}

// Log writes a line for the report.
func (w *Writer) Log(inst uint16, line string) { w.start(65, inst); w.bytes([]byte(line)) }

// Fault reports that the instance broke.
func (w *Writer) Fault(inst uint16, line string) { w.start(66, inst); w.bytes([]byte(line)) }

// CancelAttempt stops waiting on a leg.
func (w *Writer) CancelLeg(inst uint16, query uint32, leg uint8) {
	w.start(67, inst)
	w.u32(query)
	w.buf = append(w.buf, leg)
}

// Vote casts a vote.
func (w *Writer) Vote(inst, build uint16, stage, code uint8) {
	w.start(68, inst)
	w.buf = binary.LittleEndian.AppendUint16(w.buf, build)
	w.buf = append(w.buf, stage, code)
}

// Probe checks a unit.
func (w *Writer) Probe(inst uint16, unit uint64) { w.start(69, inst); w.unit(unit) }

// SendAttempt launches a leg.
func (w *Writer) SendLeg(inst uint16, query uint32, unit, wait uint64) {
	w.start(70, inst)
	w.u32(query)
	w.unit(unit)
	w.u64(wait)
}

// CloseIdle closes idle connections to a unit.
func (w *Writer) CloseIdle(inst uint16, unit uint64) { w.start(71, inst); w.unit(unit) }

// Fetch asks for the whole roster.
func (w *Writer) Fetch(inst uint16) { w.start(72, inst) }

// Wake asks to be woken.
func (w *Writer) Wake(inst uint16, token, at uint64) {
	w.start(73, inst)
	w.u64(token)
	w.u64(at)
}

// Tell sends a message.
func (w *Writer) Tell(inst uint16, to uint32, body []byte) {
	w.start(74, inst)
	w.u32(to)
	w.bytes(body)
}

// Watch subscribes to the roster's changes, or ends that.
func (w *Writer) Watch(inst uint16, on bool) {
	w.start(75, inst)
	var b uint8
	if on {
		b = 1
	}
	w.buf = append(w.buf, b)
}

// Deny turns a query away.
func (w *Writer) Deny(inst uint16, query uint32, after uint64) {
	w.start(76, inst)
	w.u32(query)
	w.u64(after)
}

// Fail ends a query without a promise.
func (w *Writer) WriteOff(inst uint16, query uint32) { w.start(77, inst); w.u32(query) }
