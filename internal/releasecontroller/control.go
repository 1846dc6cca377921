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
	controlName  = "control"       // file with the address and the word that operators must know
	mostRequest  = 16 << 10        // bytes of a request
	mostAnswer   = 16 << 20        // bytes of an answer: a long history
	controlFor   = 5 * time.Second // that a request and its answer may take
	mostControls = 16              // operators at once
	mostHistory  = 10000           // events in an answer
)

// Request is one operator's word. A request is a line of JSON and so is its answer.
type Request struct {
	Argument string      `json:"word"` // what the control file holds
	Verb     string      `json:"verb"` // status, history, offer, freeze, thaw, halt, resume, back
	Service  string      `json:"service,omitempty"`
	Build    relay.Build `json:"build,omitempty"`
	Name     string      `json:"name,omitempty"`
	Until    plan.Unix   `json:"until,omitempty"`
	Who      string      `json:"who,omitempty"`
	Why      string      `json:"why,omitempty"`
	Votes    bool        `json:"votes,omitempty"`
	Last     int         `json:"last,omitempty"`
}

// Reply is the answer to it.
type Reply struct {
	Error   string           `json:"error,omitempty"`
	At      plan.Unix        `json:"at,omitempty"`
	Status  []rollout.Status `json:"status,omitempty"`
	Freezes []rollout.Event  `json:"freezes,omitempty"`
	Events  []rollout.Event  `json:"events,omitempty"`
}

type control struct {
	desk *Controller
	ln   net.Listener
	word string
	slot chan struct{}
}

// openControl listens on loopback and writes down where, with a word that only who may read the file knows.
func openControl(d *Controller, address string) (*control, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s is no loopback address with a port", address)
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := make([]byte, 16)
	rand.Read(b)
	c := &control{desk: d, ln: ln, word: hex.EncodeToString(b), slot: make(chan struct{}, mostControls)}
	name := filepath.Join(d.dir, controlName)
	if err = os.WriteFile(name+".next", []byte(ln.Addr().String()+" "+c.word+"\n"), 0o600); err == nil {
		err = os.Rename(name+".next", name)
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	go c.serve()
	return c, nil
}

func (c *control) close() { c.ln.Close() }

func (c *control) serve() {
	for {
		n, err := c.ln.Accept()
		if err != nil {
			return
		}
		select {
		case c.slot <- struct{}{}:
			go func() {
				defer func() { n.Close(); <-c.slot }()
				n.SetDeadline(time.Now().Add(controlFor))
				c.answer(n)
			}()
		default:
			n.Close()
		}
	}
}

func (c *control) answer(n net.Conn) {
	var r Request
	line, err := bufio.NewReader(io.LimitReader(n, mostRequest)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &r)
	}
	var out Reply
	switch {
	case err != nil:
		out.Error = "the request can't be read"
	case subtle.ConstantTimeCompare([]byte(r.Argument), []byte(c.word)) != 1:
		out.Error = "the word is wrong"
	default:
		out = c.desk.operate(r)
	}
	json.NewEncoder(n).Encode(out)
}

// operate carries out a request and waits until it is on disk.
func (d *Controller) operate(r Request) Reply {
	if r.Verb == "history" { // read beside the loop; a record that is being written is not whole yet, and left out
		events, err := History(d.dir, r.Votes, min(max(r.Last, 1), mostHistory))
		if err != nil {
			return Reply{Error: oneLine(err)}
		}
		return Reply{Events: events}
	}
	got := make(chan Reply, 1)
	d.post(func(d *Controller) {
		var out Reply
		if err := d.word(r); err != nil {
			out.Error = oneLine(err)
		}
		d.answers = append(d.answers, func() {
			now := d.now()
			out.At, out.Status, out.Freezes = now, d.core.ServiceStatuses(now), d.core.OperatorFreezes()
			got <- out
		})
	})
	select {
	case out := <-got:
		return out
	case <-d.done:
		return Reply{Error: "the desk ends"}
	}
}

var verbs = map[string]rollout.EventKind{"freeze": rollout.EventFrozen, "thaw": rollout.EventUnfrozen, "halt": rollout.EventHalted,
	"resume": rollout.EventResumed, "back": rollout.EventRollingBack}

func (d *Controller) word(r Request) error {
	switch kind := verbs[r.Verb]; {
	case r.Verb == "status":
		return nil
	case r.Verb == "offer":
		no, ok := d.core.Plan().Service(r.Service)
		if !ok {
			return fmt.Errorf("there is no service %q", r.Service)
		}
		if r.Who == "" || r.Why == "" {
			return errors.New("who and why must be said")
		}
		e, err := d.core.Offer(no, r.Build, r.Who, r.Why, d.now())
		if err != nil {
			return err
		}
		d.do(e)
	case kind != "":
		e, err := d.core.Operate(rollout.Operation{Kind: kind, Service: r.Service, FreezeName: r.Name, Until: r.Until,
			Actor: r.Who, Reason: r.Why}, d.now())
		if err != nil {
			return err
		}
		d.do(e)
	default:
		return fmt.Errorf("%q is no verb", r.Verb)
	}
	d.events = append(d.events, d.core.Advance(d.now())...)
	return nil
}

// Ask sends a request to the desk that has a directory open.
func Call(ctx context.Context, dir string, r Request) (Reply, error) {
	raw, err := os.ReadFile(filepath.Join(dir, controlName))
	if err != nil {
		return Reply{}, fmt.Errorf("no desk runs with %s: %w", dir, err)
	}
	words := strings.Fields(string(raw))
	if len(words) != 2 {
		return Reply{}, fmt.Errorf("%s: can't be read", filepath.Join(dir, controlName))
	}
	r.Argument = words[1]
	var dial net.Dialer
	ctx, cancel := context.WithTimeout(ctx, controlFor)
	defer cancel()
	n, err := dial.DialContext(ctx, "tcp", words[0])
	if err != nil {
		return Reply{}, fmt.Errorf("the desk does not answer: %w", err)
	}
	defer n.Close()
	if until, ok := ctx.Deadline(); ok {
		n.SetDeadline(until)
	}
	if err := json.NewEncoder(n).Encode(r); err != nil {
		return Reply{}, err
	}
	var out Reply
	if err := json.NewDecoder(io.LimitReader(n, mostAnswer)).Decode(&out); err != nil {
		return Reply{}, fmt.Errorf("the desk's answer: %w", err)
	}
	if out.Error != "" {
		return out, errors.New(out.Error)
	}
	return out, nil
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
