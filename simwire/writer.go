package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// command is the code of a command in a reply.
type command uint8

const (
	commandLog           command = 65
	commandFault         command = 66
	commandCancelAttempt command = 67
	commandVote          command = 68
	commandHealthCheck   command = 69
	commandSendAttempt   command = 70
	commandCloseIdle     command = 71
	commandFetchList     command = 72
	commandSetTimer      command = 73
	commandSendMessage   command = 74
	commandWatch         command = 75
	commandReject        command = 76
	commandFail          command = 77
)

// Writer collects the commands of a reply, which Flush writes.
type Writer struct {
	destination *bufio.Writer
	body        []byte
	count       uint32 // number of commands in body
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{destination: bufio.NewWriterSize(w, bufferSize)}
}

// Flush writes the reply collected so far and starts the next one.
func (w *Writer) Flush() error {
	const replyHeaderBytes = 8 // number of commands and body length
	var header [replyHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], w.count)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(w.body)))
	_, headerErr := w.destination.Write(header[:])
	_, bodyErr := w.destination.Write(w.body)
	w.body, w.count = w.body[:0], 0
	if err := errors.Join(headerErr, bodyErr, w.destination.Flush()); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (w *Writer) start(code command, instance uint16) {
	w.count++
	w.u8(uint8(code))
	w.u16(instance)
}

func (w *Writer) u8(v uint8)   { w.body = append(w.body, v) }
func (w *Writer) u16(v uint16) { w.body = binary.LittleEndian.AppendUint16(w.body, v) }
func (w *Writer) u32(v uint32) { w.body = binary.LittleEndian.AppendUint32(w.body, v) }
func (w *Writer) u64(v uint64) { w.body = binary.LittleEndian.AppendUint64(w.body, v) }

func (w *Writer) endpoint(id uint64) {
	w.body = binary.BigEndian.AppendUint32(w.body, uint32(id>>addressShift))
	w.u16(uint16(id))
}

// bytes writes b with a length prefix of 16 bits. Bytes beyond the maximum length are dropped.
func (w *Writer) bytes(b []byte) {
	if len(b) > math.MaxUint16 {
		b = b[:math.MaxUint16]
	}
	w.u16(uint16(len(b)))
	w.body = append(w.body, b...)
}

// Log adds a line to the simulator's report.
func (w *Writer) Log(instance uint16, line string) {
	w.start(commandLog, instance)
	w.bytes([]byte(line))
}

// Fault reports that the instance has failed; line is the reason.
func (w *Writer) Fault(instance uint16, line string) {
	w.start(commandFault, instance)
	w.bytes([]byte(line))
}

// CancelAttempt cancels an attempt of a request.
func (w *Writer) CancelAttempt(instance uint16, request uint32, attempt uint8) {
	w.start(commandCancelAttempt, instance)
	w.u32(request)
	w.u8(attempt)
}

// Vote casts a vote on a build at a stage.
func (w *Writer) Vote(instance, build uint16, stage, verdict uint8) {
	w.start(commandVote, instance)
	w.u16(build)
	w.u8(stage)
	w.u8(verdict)
}

// HealthCheck sends a health check to an endpoint.
func (w *Writer) HealthCheck(instance uint16, endpoint uint64) {
	w.start(commandHealthCheck, instance)
	w.endpoint(endpoint)
}

// SendAttempt sends a request to an endpoint with a timeout in nanoseconds.
func (w *Writer) SendAttempt(instance uint16, request uint32, endpoint, timeout uint64) {
	w.start(commandSendAttempt, instance)
	w.u32(request)
	w.endpoint(endpoint)
	w.u64(timeout)
}

// CloseIdle closes the idle connections to an endpoint.
func (w *Writer) CloseIdle(instance uint16, endpoint uint64) {
	w.start(commandCloseIdle, instance)
	w.endpoint(endpoint)
}

// FetchList requests the full endpoint list once.
func (w *Writer) FetchList(instance uint16) { w.start(commandFetchList, instance) }

// SetTimer requests an EventTimerFired at the given time of the simulator's clock, in nanoseconds.
func (w *Writer) SetTimer(instance uint16, timer, at uint64) {
	w.start(commandSetTimer, instance)
	w.u64(timer)
	w.u64(at)
}

// SendMessage sends a message to another instance.
func (w *Writer) SendMessage(instance uint16, to uint32, body []byte) {
	w.start(commandSendMessage, instance)
	w.u32(to)
	w.bytes(body)
}

// Watch starts or stops watching the endpoint list for changes.
func (w *Writer) Watch(instance uint16, on bool) {
	w.start(commandWatch, instance)
	var flag uint8
	if on {
		flag = 1
	}
	w.u8(flag)
}

// Reject rejects a request. The client may retry it after retryAfter nanoseconds; 0: no delay is suggested.
func (w *Writer) Reject(instance uint16, request uint32, retryAfter uint64) {
	w.start(commandReject, instance)
	w.u32(request)
	w.u64(retryAfter)
}

// Fail fails a request that may or may not have had an effect.
func (w *Writer) Fail(instance uint16, request uint32) {
	w.start(commandFail, instance)
	w.u32(request)
}
