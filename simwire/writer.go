package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// command is the code of a record in a reply.
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

// Writer collects the commands of one reply and writes it at Flush.
type Writer struct {
	destination *bufio.Writer
	body        []byte
	count       uint32 // of commands
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{destination: bufio.NewWriterSize(w, bufferSize)}
}

// Flush sends the reply collected so far and starts the next.
func (w *Writer) Flush() error {
	const replyHeaderBytes = 8 // the number of commands, and the body's length
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

// bytes writes at most as many bytes as their length can tell.
func (w *Writer) bytes(b []byte) {
	if len(b) > math.MaxUint16 {
		b = b[:math.MaxUint16]
	}
	w.u16(uint16(len(b)))
	w.body = append(w.body, b...)
}

// Log writes a line for the simulator's report.
func (w *Writer) Log(instance uint16, line string) {
	w.start(commandLog, instance)
	w.bytes([]byte(line))
}

// Fault reports that the instance has failed.
func (w *Writer) Fault(instance uint16, line string) {
	w.start(commandFault, instance)
	w.bytes([]byte(line))
}

// CancelAttempt cancels an attempt.
func (w *Writer) CancelAttempt(instance uint16, request uint32, attempt uint8) {
	w.start(commandCancelAttempt, instance)
	w.u32(request)
	w.u8(attempt)
}

// Vote votes on a build.
func (w *Writer) Vote(instance, build uint16, stage, verdict uint8) {
	w.start(commandVote, instance)
	w.u16(build)
	w.u8(stage)
	w.u8(verdict)
}

// HealthCheck checks an endpoint.
func (w *Writer) HealthCheck(instance uint16, endpoint uint64) {
	w.start(commandHealthCheck, instance)
	w.endpoint(endpoint)
}

// SendAttempt sends a request to an endpoint, which has timeout nanoseconds to respond.
func (w *Writer) SendAttempt(instance uint16, request uint32, endpoint, timeout uint64) {
	w.start(commandSendAttempt, instance)
	w.u32(request)
	w.endpoint(endpoint)
	w.u64(timeout)
}

// CloseIdle closes idle connections to an endpoint.
func (w *Writer) CloseIdle(instance uint16, endpoint uint64) {
	w.start(commandCloseIdle, instance)
	w.endpoint(endpoint)
}

// FetchList asks for the full list of endpoints.
func (w *Writer) FetchList(instance uint16) { w.start(commandFetchList, instance) }

// SetTimer asks for an EventTimerFired at a time in nanoseconds.
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

// Watch subscribes to changes of the endpoint list, or ends that.
func (w *Writer) Watch(instance uint16, on bool) {
	w.start(commandWatch, instance)
	var flag uint8
	if on {
		flag = 1
	}
	w.u8(flag)
}

// Reject rejects a request; the client may retry after so many nanoseconds.
func (w *Writer) Reject(instance uint16, request uint32, retryAfter uint64) {
	w.start(commandReject, instance)
	w.u32(request)
	w.u64(retryAfter)
}

// Fail fails a request, with no word on whether it has run.
func (w *Writer) Fail(instance uint16, request uint32) {
	w.start(commandFail, instance)
	w.u32(request)
}
