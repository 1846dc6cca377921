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

// Codes of events on the simulator's pipe, as its specification has them.
const (
	eventDatagram      = 1
	eventRolloutStatus = 2
	eventDigest        = 3
	eventBorn          = 4
	eventShutdown      = 5
	eventFinished      = 6
	eventIngress       = 7
	eventHealth        = 8
	eventAnnounce      = 9
	eventElapsed       = 10
	eventReturned      = 11
	eventDropped       = 12
	eventInventory     = 13
	eventStreaming     = 14
)

// Codes of actions.
const (
	actionRemark       = 65
	actionCrash        = 66
	actionCancel       = 67
	actionOpinion      = 68
	actionRelay        = 70
	actionSleep        = 73
	actionSendDatagram = 74
	actionInformed     = 75
	actionDecline      = 76
	actionGiveUp       = 77
)

var actionNames = map[byte]string{actionRemark: "REMARK", actionCrash: "CRASH", actionCancel: "CANCEL", actionOpinion: "OPINION",
	69: "CHECK", actionRelay: "RELAY", 71: "CLOSE_IDLE", 72: "REFRESH", actionSleep: "SLEEP", actionSendDatagram: "MEMO_TO",
	actionInformed: "KEEP_INFORMED", actionDecline: "DECLINE", actionGiveUp: "GIVE_UP"}

// address is an endpoint's IPv4 address and port, as on the wire.
type address [6]byte

// record is the bytes of one event, appended field by field.
type record []byte

func event(code byte) record { return record{code} }

func eventFor(code byte, instance uint16) record { return record{code}.u16(instance) }

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

// frame is a batch of records with its header.
func frame(clock uint64, body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(b, clock), body...)
}

// action is one record of a reply; rest are the bytes after its code and instance.
type action struct {
	code     byte
	instance uint16
	rest     []byte
}

func (a action) u16(at int) uint16 { return binary.LittleEndian.Uint16(a.rest[at:]) }
func (a action) u32() uint32       { return binary.LittleEndian.Uint32(a.rest) } // the first field
func (a action) u64(at int) uint64 { return binary.LittleEndian.Uint64(a.rest[at:]) }

// line is an action's line of a golden file. The text of a REMARK is left out, with its length, as log lines are.
func (a action) line() string {
	rest := hex.EncodeToString(a.rest)
	if a.code == actionRemark {
		rest = "(text)"
	}
	return fmt.Sprintf("  %s %d %s", actionNames[a.code], a.instance, rest)
}

// fixedLengths are the numbers of bytes after code and instance, of the actions that have a fixed length.
var fixedLengths = map[byte]int{actionCancel: 5, actionOpinion: 4, 69: 6, actionRelay: 18, 71: 6, 72: 0, actionSleep: 16,
	actionInformed: 1, actionDecline: 12, actionGiveUp: 4}

// splitReply splits the body of a reply into its actions.
func splitReply(body []byte) (actions []action, err error) {
	for at := 0; at < len(body); {
		if len(body)-at < 3 {
			return nil, fmt.Errorf("%d bytes are left over", len(body)-at)
		}
		a := action{code: body[at], instance: binary.LittleEndian.Uint16(body[at+1:])}
		at += 3
		size, fixed := fixedLengths[a.code]
		textAt := map[byte]int{actionRemark: 0, actionCrash: 0, actionSendDatagram: 4}
		if from, hasText := textAt[a.code]; hasText && at+from+2 <= len(body) {
			size, fixed = from+2+int(binary.LittleEndian.Uint16(body[at+from:])), true
		}
		if !fixed || at+size > len(body) {
			return nil, fmt.Errorf("action %d at byte %d is not known or runs past the end", a.code, at-3)
		}
		a.rest = body[at : at+size]
		at += size
		actions = append(actions, a)
	}
	return actions, nil
}

// pipe is a decision process that runs, with its standard input and output.
type pipe struct {
	t       *testing.T
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
}

func openPipe(t *testing.T) *pipe {
	t.Helper()
	command := exec.Command(program("simhost"))
	in, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { command.Process.Kill(); command.Wait() })
	return &pipe{t, command, in, bufio.NewReader(out)}
}

// exchange writes a batch and reads its reply.
func (p *pipe) exchange(batch []byte) []action {
	p.t.Helper()
	if _, err := p.in.Write(batch); err != nil {
		p.t.Fatal(err)
	}
	var head [8]byte
	if _, err := io.ReadFull(p.out, head[:]); err != nil {
		p.t.Fatalf("no reply: %v", err)
	}
	body := make([]byte, binary.LittleEndian.Uint32(head[4:]))
	if _, err := io.ReadFull(p.out, body); err != nil {
		p.t.Fatalf("half a reply: %v", err)
	}
	actions, err := splitReply(body)
	if err != nil {
		p.t.Fatal(err)
	}
	if count := int(binary.LittleEndian.Uint32(head[:])); count != len(actions) {
		p.t.Fatalf("the header counts %d actions, the body holds %d", count, len(actions))
	}
	return actions
}

// end closes the input; the process must then exit with 0 and write nothing more.
func (p *pipe) end() {
	p.t.Helper()
	p.in.Close()
	rest, err := io.ReadAll(p.out)
	if err != nil || len(rest) > 0 {
		p.t.Errorf("%d bytes behind the last reply, %v", len(rest), err)
	}
	if err := p.command.Wait(); err != nil {
		p.t.Errorf("at the end of input: %v", err)
	}
}
