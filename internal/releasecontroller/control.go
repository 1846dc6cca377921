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
	controlFileName  = "control" // holds the socket's address and the token
	maxRequestBytes  = 16 << 10
	maxReplyBytes    = 16 << 20        // the longest replies are histories
	controlTimeout   = 5 * time.Second // for a request and its reply together
	maxControlConns  = 16              // open connections
	maxHistoryEvents = 10000           // in one reply
	tokenBytes       = 16              // random bytes of the token; hexadecimal in the control file
)

// Verb is the operation that a request asks for.
type Verb string

// The verbs of the control socket.
const (
	VerbStatus   Verb = "status"  // reports all services
	VerbHistory  Verb = "history" // returns events of the journals
	VerbOffer    Verb = "offer"   // offers a new build to a service
	VerbFreeze   Verb = "freeze"  // blocks the next step of each build, in one service or in all
	VerbUnfreeze Verb = "thaw"    // ends a freeze set by an operator
	VerbHalt     Verb = "halt"    // blocks the next step of each build of a service until VerbResume
	VerbResume   Verb = "resume"  // ends a halt
	VerbRollBack Verb = "back"    // rolls back the newest build of a service
)

// operationEvents maps the verbs that rollout.Core.Operate handles to the kind of event that it returns.
var operationEvents = map[Verb]rollout.EventKind{
	VerbFreeze:   rollout.EventFrozen,
	VerbUnfreeze: rollout.EventUnfrozen,
	VerbHalt:     rollout.EventHalted,
	VerbResume:   rollout.EventResumed,
	VerbRollBack: rollout.EventRollingBack,
}

// Request is one command from an operator. Requests and replies are single lines of JSON on the control socket.
type Request struct {
	Token        string      `json:"word"` // from the control file; Call fills it in
	Verb         Verb        `json:"verb"`
	Service      string      `json:"service,omitempty"` // if empty, a freeze applies to all services
	Build        relay.Build `json:"build,omitempty"`   // for VerbOffer
	FreezeName   string      `json:"name,omitempty"`    // for VerbFreeze and VerbUnfreeze
	Until        plan.Unix   `json:"until,omitempty"`   // for VerbFreeze: its end; 0 means until VerbUnfreeze
	Actor        string      `json:"who,omitempty"`     // name of the operator, for the journal
	Reason       string      `json:"why,omitempty"`     // for the journal
	IncludeVotes bool        `json:"votes,omitempty"`   // for VerbHistory: return votes as well
	MaxEvents    int         `json:"last,omitempty"`    // for VerbHistory: number of latest events to return
}

// Reply is the answer to a Request. Error is empty if the request was carried out. The JSON field names and the texts of
// Error are part of the protocol of the control socket.
type Reply struct {
	Error   string           `json:"error,omitempty"`
	At      plan.Unix        `json:"at,omitempty"`
	Status  []rollout.Status `json:"status,omitempty"`
	Freezes []rollout.Event  `json:"freezes,omitempty"` // set by operators and still in effect
	Events  []rollout.Event  `json:"events,omitempty"`  // for VerbHistory
}

// controlServer serves the control socket. One goroutine accepts connections until close is called. Each connection has a
// goroutine that ends after controlTimeout at the latest.
type controlServer struct {
	controller *Controller
	listener   net.Listener
	token      string
	connSlots  chan struct{} // holds one element for each open connection
}

// openControl listens on a loopback address and writes the control file, which holds the address and a secret token. Only
// users who may read the file can send requests.
func openControl(controller *Controller, address string) (*controlServer, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%q is not a loopback address with a port", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token) // returns no error: on a failure it ends the program
	s := &controlServer{
		controller: controller,
		listener:   listener,
		token:      hex.EncodeToString(token),
		connSlots:  make(chan struct{}, maxControlConns),
	}
	if err := s.writeFile(); err != nil {
		s.close(time.Now())
		return nil, err
	}
	go s.serve()
	return s, nil
}

// writeFile writes the control file under a temporary name and renames it, so that readers never see a partial file.
func (s *controlServer) writeFile() error {
	name := filepath.Join(s.controller.dir, controlFileName)
	temporary := name + ".next"
	content := s.listener.Addr().String() + " " + s.token + "\n"
	if err := os.WriteFile(temporary, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// close stops accepting connections and waits until the open ones have ended, at most until the deadline.
func (s *controlServer) close(deadline time.Time) {
	_ = s.listener.Close() // no data is pending on a listener, so the error does not matter
	timeout := time.After(time.Until(deadline))
	for range cap(s.connSlots) {
		select {
		case s.connSlots <- struct{}{}:
		case <-timeout:
			return
		}
	}
}

func (s *controlServer) serve() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.connSlots <- struct{}{}:
			go s.serveConn(connection)
		default:
			_ = connection.Close() // over maxControlConns; nothing has been sent on it yet
		}
	}
}

func (s *controlServer) serveConn(connection net.Conn) {
	defer func() {
		_ = connection.Close() // the reply has been written or can't be
		<-s.connSlots
	}()
	_ = connection.SetDeadline(time.Now().Add(controlTimeout)) // if it fails, the reads and writes after it fail too
	reply := s.serveRequest(connection)
	_ = json.NewEncoder(connection).Encode(reply) // an operator who has disconnected misses the reply, but the journal has the command
}

// serveRequest reads a request, checks its token and carries it out.
func (s *controlServer) serveRequest(reader io.Reader) Reply {
	var request Request
	line, err := bufio.NewReader(io.LimitReader(reader, maxRequestBytes)).ReadBytes('\n')
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

// handle carries out a request and returns once its events are on disk. It waits for the loop, so the loop must not call it.
func (ctl *Controller) handle(request Request) Reply {
	if request.Verb == VerbHistory { // reads the files without the loop; a record still being written is incomplete and left out
		events, err := History(ctl.dir, request.IncludeVotes, min(max(request.MaxEvents, 1), maxHistoryEvents))
		if err != nil {
			return Reply{Error: oneLine(err)}
		}
		return Reply{Events: events}
	}
	replies := make(chan Reply, 1)
	ctl.post(func(ctl *Controller) {
		var reply Reply
		if err := ctl.execute(request); err != nil {
			reply.Error = oneLine(err)
		}
		ctl.pendingReplies = append(ctl.pendingReplies, func() {
			now := ctl.now()
			reply.At, reply.Status, reply.Freezes = now, ctl.core.ServiceStatuses(now), ctl.core.OperatorFreezes()
			replies <- reply
		})
	})
	select {
	case reply := <-replies:
		return reply
	case <-ctl.done:
	}
	select {
	case reply := <-replies: // it was carried out by the last round of the loop
		return reply
	default:
		return Reply{Error: "the desk ends"} // "desk" is the former name of the release controller
	}
}

// execute applies a request to the state machine. Only the loop may call it.
func (ctl *Controller) execute(request Request) error {
	if request.Verb == VerbStatus {
		return nil
	}
	event, err := ctl.eventForRequest(request)
	if err != nil {
		return err
	}
	ctl.apply(event)
	ctl.advance()
	return nil
}

// eventForRequest returns the event that carries out a request, or an error if the state machine rejects it.
func (ctl *Controller) eventForRequest(request Request) (rollout.Event, error) {
	if request.Verb == VerbOffer {
		return ctl.offerEvent(request)
	}
	kind, known := operationEvents[request.Verb]
	if !known {
		return rollout.Event{}, fmt.Errorf("%q is no verb", request.Verb)
	}
	return ctl.core.Operate(rollout.Operation{Kind: kind, Service: request.Service, FreezeName: request.FreezeName, Until: request.Until,
		Actor: request.Actor, Reason: request.Reason}, ctl.now())
}

// offerEvent returns the event that offers the request's build to its service.
func (ctl *Controller) offerEvent(request Request) (rollout.Event, error) {
	service, ok := ctl.core.Plan().Service(request.Service)
	if !ok {
		return rollout.Event{}, fmt.Errorf("there is no service %q", request.Service)
	}
	if request.Actor == "" || request.Reason == "" {
		return rollout.Event{}, errors.New("who and why must be said")
	}
	return ctl.core.Offer(service, request.Build, request.Actor, request.Reason, ctl.now())
}

// Call sends a request to the release controller that uses the directory, and returns its reply. The error is a connection
// error, or Reply.Error if the release controller rejected the request.
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
		return Reply{}, fmt.Errorf("connect to the release controller: %w", err)
	}
	defer func() { _ = connection.Close() }() // the reply has been read, or reading it failed with an error already
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline) // if it fails, the write after it fails too
	}
	if err := json.NewEncoder(connection).Encode(request); err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(connection, maxReplyBytes)).Decode(&reply); err != nil {
		return Reply{}, fmt.Errorf("read the release controller's reply: %w", err)
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// readControlFile returns the control socket's address and the token from the control file in a directory.
func readControlFile(dir string) (address, token string, err error) {
	name := filepath.Join(dir, controlFileName)
	content, err := os.ReadFile(name)
	if err != nil {
		return "", "", fmt.Errorf("no release controller runs with %s: %w", dir, err)
	}
	fields := strings.Fields(string(content))
	if len(fields) != 2 {
		return "", "", fmt.Errorf("%s: want an address and a token", name)
	}
	return fields[0], fields[1], nil
}

// oneLine returns an error's text on one line, for JSON replies and log fields.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
