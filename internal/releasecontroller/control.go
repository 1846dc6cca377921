package releasecontroller

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	controlName      = "control"       // file with the address and the token that operators need
	maxRequestBytes  = 16 << 10        // of a request
	maxReplyBytes    = 16 << 20        // of a reply: a long history
	controlTimeout   = 5 * time.Second // that a request and its reply may take
	maxControlConns  = 16              // operators at once
	maxHistoryEvents = 10000           // in a reply
	tokenBytes       = 16              // of chance in the control file's token
)

// Verb is what an operator asks for.
type Verb string

// The verbs of the control socket.
const (
	VerbStatus   Verb = "status"  // of all services
	VerbHistory  Verb = "history" // the journal's events
	VerbOffer    Verb = "offer"   // a new build to a service
	VerbFreeze   Verb = "freeze"  // stops moves, of one service or of all
	VerbUnfreeze Verb = "thaw"    // ends such a freeze
	VerbHalt     Verb = "halt"    // stops a service's moves
	VerbResume   Verb = "resume"  // ends a halt
	VerbRollBack Verb = "back"    // sends a service's newest build back
)

// operations are the events that rollout.Core makes for the verbs that need nothing else.
var operations = map[Verb]rollout.EventKind{
	VerbFreeze:   rollout.EventFrozen,
	VerbUnfreeze: rollout.EventUnfrozen,
	VerbHalt:     rollout.EventHalted,
	VerbResume:   rollout.EventResumed,
	VerbRollBack: rollout.EventRollingBack,
}

// Request is one command of an operator. On the control socket it is a line of JSON, as is its reply.
type Request struct {
	Token        string      `json:"word"` // of the control file; Call fills it in
	Verb         Verb        `json:"verb"`
	Service      string      `json:"service,omitempty"` // empty in a freeze: all services
	Build        relay.Build `json:"build,omitempty"`   // of an offer
	FreezeName   string      `json:"name,omitempty"`    // of a freeze
	Until        plan.Unix   `json:"until,omitempty"`   // end of a freeze; 0: until it is ended by hand
	Actor        string      `json:"who,omitempty"`     // the operator, for the journal
	Reason       string      `json:"why,omitempty"`     // the reason, for the journal
	IncludeVotes bool        `json:"votes,omitempty"`   // history: votes too
	MaxEvents    int         `json:"last,omitempty"`    // history: so many of the latest events
}

// Reply is the answer to a Request. Error is empty if the request was carried out; its texts are part of the protocol, as
// the field names are.
type Reply struct {
	Error   string           `json:"error,omitempty"`
	At      plan.Unix        `json:"at,omitempty"`
	Status  []rollout.Status `json:"status,omitempty"`
	Freezes []rollout.Event  `json:"freezes,omitempty"` // those that operators set
	Events  []rollout.Event  `json:"events,omitempty"`  // history
}

// controlServer serves the control socket. One goroutine accepts, until close; one more for each connection ends at
// controlTimeout at the latest.
type controlServer struct {
	controller *Controller
	listener   net.Listener
	token      string
	slots      chan struct{} // one taken by each open connection
}

// openControl listens on loopback and writes the control file: the address, and a token that only someone who may read
// the file knows.
func openControl(controller *Controller, address string) (*controlServer, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s is no loopback address with a port", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token) // never fails: it ends the program instead
	s := &controlServer{
		controller: controller,
		listener:   listener,
		token:      hex.EncodeToString(token),
		slots:      make(chan struct{}, maxControlConns),
	}
	if err := s.writeFile(); err != nil {
		s.close()
		return nil, err
	}
	go s.serve()
	return s, nil
}

// writeFile puts the control file in place, complete or not at all.
func (s *controlServer) writeFile() error {
	name := filepath.Join(s.controller.dir, controlName)
	next := name + ".next"
	content := s.listener.Addr().String() + " " + s.token + "\n"
	if err := os.WriteFile(next, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(next, name)
}

func (s *controlServer) close() {
	_ = s.listener.Close() // a listener holds nothing that could be lost
}

func (s *controlServer) serve() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
			go s.serveConn(connection)
		default:
			_ = connection.Close() // too many operators: nothing was said on it
		}
	}
}

func (s *controlServer) serveConn(connection net.Conn) {
	defer func() {
		_ = connection.Close() // the reply is written, or can't be
		<-s.slots
	}()
	_ = connection.SetDeadline(time.Now().Add(controlTimeout)) // fails only where the reads and writes after it fail too
	reply := s.reply(connection)
	_ = json.NewEncoder(connection).Encode(reply) // an operator who has left misses the reply; the journal has the command
}

// reply reads a request and carries it out.
func (s *controlServer) reply(from io.Reader) Reply {
	var request Request
	line, err := bufio.NewReader(io.LimitReader(from, maxRequestBytes)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &request)
	}
	switch {
	case err != nil:
		return Reply{Error: "the request can't be read"}
	case subtle.ConstantTimeCompare([]byte(request.Token), []byte(s.token)) != 1:
		return Reply{Error: "the word is wrong"}
	}
	return s.controller.handle(request)
}

// handle carries out a request and waits until it is on disk. Any goroutine but the loop may call it.
func (d *Controller) handle(request Request) Reply {
	if request.Verb == VerbHistory { // read beside the loop; a record that is being written is incomplete, and left out
		events, err := History(d.dir, request.IncludeVotes, min(max(request.MaxEvents, 1), maxHistoryEvents))
		if err != nil {
			return Reply{Error: oneLine(err)}
		}
		return Reply{Events: events}
	}
	replies := make(chan Reply, 1)
	d.post(func(d *Controller) {
		var reply Reply
		if err := d.execute(request); err != nil {
			reply.Error = oneLine(err)
		}
		d.pendingReplies = append(d.pendingReplies, func() {
			now := d.now()
			reply.At, reply.Status, reply.Freezes = now, d.core.ServiceStatuses(now), d.core.OperatorFreezes()
			replies <- reply
		})
	})
	select {
	case reply := <-replies:
		return reply
	case <-d.done:
		return Reply{Error: "the desk ends"}
	}
}

// execute applies a request to the state machine. Loop only.
func (d *Controller) execute(request Request) error {
	if request.Verb == VerbStatus {
		return nil
	}
	event, err := d.eventOf(request)
	if err != nil {
		return err
	}
	d.apply(event)
	d.advance()
	return nil
}

// eventOf is the event that a request leads to.
func (d *Controller) eventOf(request Request) (rollout.Event, error) {
	if request.Verb == VerbOffer {
		return d.offer(request)
	}
	kind, known := operations[request.Verb]
	if !known {
		return rollout.Event{}, fmt.Errorf("%q is no verb", request.Verb)
	}
	return d.core.Operate(rollout.Operation{Kind: kind, Service: request.Service, FreezeName: request.FreezeName, Until: request.Until,
		Actor: request.Actor, Reason: request.Reason}, d.now())
}

func (d *Controller) offer(request Request) (rollout.Event, error) {
	service, ok := d.core.Plan().Service(request.Service)
	if !ok {
		return rollout.Event{}, fmt.Errorf("there is no service %q", request.Service)
	}
	if request.Actor == "" || request.Reason == "" {
		return rollout.Event{}, errors.New("who and why must be said")
	}
	return d.core.Offer(service, request.Build, request.Actor, request.Reason, d.now())
}

// Call sends a request to the release controller that runs with a directory, and returns its reply. The error is that of
// the connection, or the reply's own.
func Call(ctx context.Context, dir string, request Request) (Reply, error) {
	address, token, err := readControlFile(dir)
	if err != nil {
		return Reply{}, err
	}
	request.Token = token
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Reply{}, fmt.Errorf("the release controller does not answer: %w", err)
	}
	defer func() { _ = connection.Close() }() // the reply has been read, or the error says why not
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline) // fails only where the write after it fails too
	}
	if err := json.NewEncoder(connection).Encode(request); err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(connection, maxReplyBytes)).Decode(&reply); err != nil {
		return Reply{}, fmt.Errorf("the release controller's answer: %w", err)
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// readControlFile returns what a running release controller left for operators in its directory.
func readControlFile(dir string) (address, token string, err error) {
	name := filepath.Join(dir, controlName)
	content, err := os.ReadFile(name)
	if err != nil {
		return "", "", fmt.Errorf("no release controller runs with %s: %w", dir, err)
	}
	fields := strings.Fields(string(content))
	if len(fields) != 2 {
		return "", "", fmt.Errorf("%s: can't be read", name)
	}
	return fields[0], fields[1], nil
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
