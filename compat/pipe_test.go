package compat_test

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"os/exec"
	"testing"
)

// Codes of events on the simulator's pipe, as specified.
const (
	eventMessage            = 1
	eventRolloutStatus      = 2
	eventReportedCounts     = 3
	eventStart              = 4
	eventStop               = 5
	eventAttemptEnded       = 6
	eventRequest            = 7
	eventHealthCheckEnded   = 8
	eventListUpdate         = 9
	eventTimerFired         = 10
	eventMisreportedOutcome = 11
	eventClientDisconnected = 12
	eventList               = 13
	eventStreamStarted      = 14
)

// Codes of commands, as specified.
const (
	commandLog           = 65
	commandFault         = 66
	commandCancelAttempt = 67
	commandVote          = 68
	commandHealthCheck   = 69
	commandSendAttempt   = 70
	commandCloseIdle     = 71
	commandFetchList     = 72
	commandSetTimer      = 73
	commandSendMessage   = 74
	commandWatch         = 75
	commandReject        = 76
	commandFail          = 77
)

// commandNames are the names of commands in golden files.
var commandNames = map[byte]string{commandLog: "REMARK", commandFault: "CRASH", commandCancelAttempt: "CANCEL", commandVote: "OPINION",
	commandHealthCheck: "CHECK", commandSendAttempt: "RELAY", commandCloseIdle: "CLOSE_IDLE", commandFetchList: "REFRESH", commandSetTimer: "SLEEP", commandSendMessage: "MEMO_TO",
	commandWatch: "KEEP_INFORMED", commandReject: "DECLINE", commandFail: "GIVE_UP"}

// address is an endpoint's IPv4 address and port, as on the wire.
type address [6]byte

// record is an encoded event, to which fields are appended.
type record []byte

// event returns the start of an event that is not for one particular instance.
func event(code byte) record { return record{code} }

// instanceEvent returns the start of an event for an instance.
func instanceEvent(code byte, instance uint16) record { return record{code}.u16(instance) }

func (r record) u8(v byte) record         { return append(r, v) }
func (r record) u16(v uint16) record      { return binary.LittleEndian.AppendUint16(r, v) }
func (r record) u32(v uint32) record      { return binary.LittleEndian.AppendUint32(r, v) }
func (r record) u64(v uint64) record      { return binary.LittleEndian.AppendUint64(r, v) }
func (r record) f32(v float32) record     { return r.u32(math.Float32bits(v)) }
func (r record) address(a address) record { return append(r, a[:]...) }
func (r record) report(v []float32) record {
	r = r.u8(byte(len(v)))
	for _, x := range v {
		r = r.f32(x)
	}
	return r
}

// frame encodes a batch of events: a header and the records.
func frame(clock uint64, body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(b, clock), body...)
}

// command is a record of a reply; rest holds the bytes after its code and instance.
type command struct {
	code     byte
	instance uint16
	rest     []byte
}

func (c command) u16(at int) uint16 { return binary.LittleEndian.Uint16(c.rest[at:]) }
func (c command) u32() uint32       { return binary.LittleEndian.Uint32(c.rest) } // the first field
func (c command) u64(at int) uint64 { return binary.LittleEndian.Uint64(c.rest[at:]) }

// line returns the line for a command in a golden file. The text of a log command and its length are left out, because the
// text of log lines may change.
func (c command) line() string {
	rest := hex.EncodeToString(c.rest)
	if c.code == commandLog {
		rest = "(text)"
	}
	return fmt.Sprintf("  %s %d %s", commandNames[c.code], c.instance, rest)
}

// fixedLengths holds the number of bytes after code and instance, for the commands of fixed length.
var fixedLengths = map[byte]int{commandCancelAttempt: 5, commandVote: 4, commandHealthCheck: 6, commandSendAttempt: 18, commandCloseIdle: 6, commandFetchList: 0, commandSetTimer: 16,
	commandWatch: 1, commandReject: 12, commandFail: 4}

// splitReply splits the body of a reply into its commands.
func splitReply(body []byte) (commands []command, err error) {
	for at := 0; at < len(body); {
		if len(body)-at < 3 {
			return nil, fmt.Errorf("%d bytes follow the last command", len(body)-at)
		}
		c := command{code: body[at], instance: binary.LittleEndian.Uint16(body[at+1:])}
		at += 3
		size, fixed := fixedLengths[c.code]
		textOffsets := map[byte]int{commandLog: 0, commandFault: 0, commandSendMessage: 4}
		if textOffset, hasText := textOffsets[c.code]; hasText && at+textOffset+2 <= len(body) {
			size, fixed = textOffset+2+int(binary.LittleEndian.Uint16(body[at+textOffset:])), true
		}
		if !fixed || at+size > len(body) {
			return nil, fmt.Errorf("command %d at byte %d is unknown or exceeds the body", c.code, at-3)
		}
		c.rest = body[at : at+size]
		at += size
		commands = append(commands, c)
	}
	return commands, nil
}

// pipe is a running simhost process, with its standard input and output.
type pipe struct {
	t   *testing.T
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

func startSimhost(t *testing.T) *pipe {
	t.Helper()
	cmd := exec.Command(binaryPath("simhost"))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return &pipe{t, cmd, in, bufio.NewReader(out)}
}

// exchange writes a batch and reads the reply.
func (p *pipe) exchange(batch []byte) []command {
	p.t.Helper()
	if _, err := p.in.Write(batch); err != nil {
		p.t.Fatal(err)
	}
	var header [8]byte
	if _, err := io.ReadFull(p.out, header[:]); err != nil {
		p.t.Fatalf("no reply: %v", err)
	}
	body := make([]byte, binary.LittleEndian.Uint32(header[4:]))
	if _, err := io.ReadFull(p.out, body); err != nil {
		p.t.Fatalf("incomplete reply: %v", err)
	}
	commands, err := splitReply(body)
	if err != nil {
		p.t.Fatal(err)
	}
	if count := int(binary.LittleEndian.Uint32(header[:])); count != len(commands) {
		p.t.Fatalf("the header announces %d commands, the body contains %d", count, len(commands))
	}
	return commands
}

// closeAndCheckExit closes the input. The process must then exit with 0 without further output.
func (p *pipe) closeAndCheckExit() {
	p.t.Helper()
	p.in.Close()
	rest, err := io.ReadAll(p.out)
	if err != nil || len(rest) > 0 {
		p.t.Errorf("%d bytes after the last reply, read error %v", len(rest), err)
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("exit at the end of the input: %v", err)
	}
}
