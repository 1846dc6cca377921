package simwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	bufferSize   = 1 << 16 // bytes buffered by a reader and by a writer
	maxBodyBytes = 1 << 30
	headerBytes  = 12 // size of a batch's header: body length and clock
)

// Reader reads batches of events from the simulator.
type Reader struct {
	source *bufio.Reader
	body   []byte
	events []Event
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(r, bufferSize)} }

// Read returns the simulator's clock in nanoseconds and the events of the next batch. The events are valid until the next
// call. Read returns io.EOF if the input ends between two batches; errors about the content wrap ErrMalformed.
func (r *Reader) Read() (clock uint64, events []Event, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("%w: truncated batch header: %w", ErrMalformed, err)
	}
	length := binary.LittleEndian.Uint32(header[0:])
	clock = binary.LittleEndian.Uint64(header[4:])
	if length > maxBodyBytes {
		return 0, nil, fmt.Errorf("%w: batch body of %d bytes exceeds the maximum of %d bytes", ErrMalformed, length, maxBodyBytes)
	}
	if cap(r.body) < int(length) {
		r.body = make([]byte, 0, length+length/2)
	}
	r.body = r.body[:length]
	if _, err := io.ReadFull(r.source, r.body); err != nil {
		return 0, nil, fmt.Errorf("%w: truncated batch body, expected %d bytes: %w", ErrMalformed, length, err)
	}
	r.events, err = decode(r.body, r.events[:0])
	return clock, r.events, err
}

// decode decodes the events in a batch body and appends them to events.
func decode(body []byte, events []Event) ([]Event, error) {
	c := &cursor{body: body}
	for c.at < len(body) {
		start := c.at
		event := Event{Code: Code(c.u8())}
		if int(event.Code) >= len(fieldDecoders) || fieldDecoders[event.Code] == nil {
			return events, fmt.Errorf("%w: unknown event code %d at byte %d", ErrMalformed, event.Code, start)
		}
		if event.Code != EventList {
			event.Instance = c.u16()
		}
		fieldDecoders[event.Code](c, &event)
		if c.overrun {
			return events, fmt.Errorf("%w: event with code %d at byte %d exceeds the batch body", ErrMalformed, event.Code, start)
		}
		events = append(events, event)
	}
	return events, nil
}

// fieldDecoders holds, for each event code, the function that decodes the fields after the code and the instance.
var fieldDecoders = [...]func(c *cursor, e *Event){
	EventMessage:            decodeMessage,
	EventRolloutStatus:      decodeRolloutStatus,
	EventReportedCounts:     decodeReportedCounts,
	EventStart:              decodeStart,
	EventStop:               func(*cursor, *Event) {},
	EventAttemptEnded:       decodeAttemptEnded,
	EventRequest:            decodeRequest,
	EventHealthCheckEnded:   decodeHealthCheckEnded,
	EventListUpdate:         decodeListUpdate,
	EventTimerFired:         func(c *cursor, e *Event) { e.Timer = c.u64() },
	EventMisreportedOutcome: decodeMisreportedOutcome,
	EventClientDisconnected: func(c *cursor, e *Event) { e.Request = c.u32() },
	EventList:               decodeList,
	EventStreamStarted:      decodeStreamStarted,
}

func decodeMessage(c *cursor, e *Event) {
	e.From = c.u32()
	e.Body = c.bytes(int(c.u16()))
}

func decodeRolloutStatus(c *cursor, e *Event) {
	e.ExposureLimit = c.f32()
	e.Phase = c.u8()
	e.VoteReply = c.u8()
	e.Build = c.u16()
	e.Stage = c.u8()
	e.Age = c.u64()
	e.Outcome = Outcome(c.u8())
}

func decodeReportedCounts(c *cursor, e *Event) {
	e.Build = c.u16()
	e.Class = c.u16()
	e.Attempts = c.u32()
	e.Failures = c.u32()
	e.Duration = c.u64()
	e.Age = c.u64()
}

func decodeStart(c *cursor, e *Event) {
	e.Seed = c.u64()
	e.Body = c.bytes(int(c.u32()))
}

func decodeAttemptEnded(c *cursor, e *Event) {
	e.Request = c.u32()
	e.Attempt = c.u8()
	e.Endpoint = c.endpoint()
	e.Outcome = Outcome(c.u8())
	e.Duration = c.u64()
	e.RequestFinished = c.u8()
	e.LoadReport = c.loadReport()
}

func decodeRequest(c *cursor, e *Event) {
	e.Request = c.u32()
	e.Deadline = c.u64()
	e.Work = c.u64()
	e.Flags = c.u8()
	e.Key = c.u64()
	e.Tenant = c.u32()
	e.Class = c.u16()
}

func decodeHealthCheckEnded(c *cursor, e *Event) {
	e.Endpoint = c.endpoint()
	e.Duration = c.u64()
	e.Outcome = Outcome(c.u8())
	e.LoadReport = c.loadReport()
}

func decodeListUpdate(c *cursor, e *Event) {
	c.u32() // list version; not needed, because updates arrive in order and without gaps
	e.List = c.u32()
	e.ListKind = ListKind(c.u8())
}

func decodeMisreportedOutcome(c *cursor, e *Event) {
	e.Class = c.u16()
	e.Endpoint = c.endpoint()
	e.Age = c.u64()
}

func decodeList(c *cursor, e *Event) {
	e.List = c.u32()
	count := int(c.u32())
	for i := 0; i < count && !c.overrun; i++ {
		e.Entries = append(e.Entries, Entry{
			Zone:          c.u16(),
			MachineType:   c.u16(),
			FailureDomain: c.u16(),
			Build:         c.f32(),
			Weight:        c.f32(),
			State:         EndpointState(c.u8()),
			StartedAt:     c.u64(),
			Endpoint:      c.endpoint(),
		})
	}
}

func decodeStreamStarted(c *cursor, e *Event) {
	e.Request = c.u32()
	e.Attempt = c.u8()
	e.Endpoint = c.endpoint()
	e.Duration = c.u64()
}
