// Package systemtest runs relays as real processes on loopback, built as the deploy file builds them, against emulated
// endpoints, discovery and clients. It consists of tests only.
package systemtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// testTimeout bounds the wait for things that should happen at once.
const testTimeout = 10 * time.Second

// relayProgram is the path of the program under test.
var relayProgram string

// TestMain builds the program as the deploy file does.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	relayProgram = filepath.Join(dir, "lichenroad")
	build := exec.Command("go", "build", "-tags", "slim", "-ldflags=-linkmode=external", "-o", relayProgram, "../cmd/lichenroad")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the relay: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Names of the request classes in the settings of the tests, one of each kind of idempotency.
const (
	classIdempotent = "look"
	classKeyed      = "order"
	classAtMostOnce = "pay"
)

var allClasses = []string{classIdempotent, classKeyed, classAtMostOnce}

// classDeadline is the deadline of all classes.
const classDeadline = 2 * time.Second

type object = map[string]any

// relayOptions are the parts of a relay's configuration that tests vary.
type relayOptions struct {
	memoryMB int           // 0: 64
	sockets  int           // 0: 384
	limits   object        // entries of policy_limits that replace the defaults
	cores    float64       // 0: 1
	platform string        // address of the platform; empty: none
	rollout  object        // entries of family_info that replace the defaults
	deadline time.Duration // of all classes; 0: classDeadline
}

// relayProcess is a relay that runs as a process.
type relayProcess struct {
	t       *testing.T
	address string
	process *fakes.Process
	dir     string

	discovery *fakes.Discovery
}

// startRelay starts a relay that knows the endpoints, and waits until it is ready. It is killed at the end of the test.
func startRelay(t *testing.T, options relayOptions, endpoints ...*endpoint) *relayProcess {
	t.Helper()
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Set(entriesOf(endpoints))
	addresses, err := fakes.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	r := &relayProcess{t: t, address: addresses[0], dir: t.TempDir(), discovery: discovery}
	path := filepath.Join(r.dir, "config.json")
	config, err := json.Marshal(options.config(r.address, discovery))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	if r.process, err = fakes.StartProcess(relayProgram, r.dir, nil, "serve", "--config", path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.process.Signal(syscall.SIGKILL); <-r.process.Done })
	if err := fakes.WaitListening(r.address, r.process); err != nil {
		t.Fatal(err)
	}
	ready := r.dial()
	defer ready.Close()
	if response := ready.query(""); response.Code != "" {
		t.Fatal("the relay is not ready:", response.Code)
	}
	return r
}

// entriesOf returns the entries of endpoints in discovery's list.
func entriesOf(endpoints []*endpoint) (entries []fakes.Endpoint) {
	for i, e := range endpoints {
		entries = append(entries, fakes.Endpoint{ID: fmt.Sprint("s-", i), HostPort: e.address, Zone: "a", MachineType: "m1",
			Lifecycle: "SERVING", Weight: 1, Build: defaultTo(e.build, 1)})
	}
	return entries
}

// config returns the configuration of a relay that is alone in its fleet.
func (o relayOptions) config(address string, discovery *fakes.Discovery) object {
	limits := object{"cancel": true, "conn_idle": int64(30 * time.Second), "dial_timeout": int64(250 * time.Millisecond),
		"max_attempts": 3, "retry_after": true, "max_retry_after": int64(time.Second), "probes": true}
	for name, value := range o.limits {
		limits[name] = value
	}
	rollout := object{"call_timeout": int64(300 * time.Millisecond), "exposure_caps": []float64{1}, "waves": []float64{1},
		"decided_by": "first_voice", "to_advance": 1, "to_abort": 1, "votes_per_s": 100}
	for name, value := range o.rollout {
		rollout[name] = value
	}
	deadline := defaultTo(o.deadline, classDeadline)
	target := min(deadline, 1500*time.Millisecond)
	class := func(name, repeat string) object {
		return object{"name": name, "repeat": repeat, "group": "all", "repeat_window": int64(2 * time.Second),
			"target": int64(target), "deadline": int64(deadline), "worth": 1}
	}
	config := object{
		"name": "n0", "listen": address, "discovery": discovery.Addr(), "seed": "8c1f30d27a5be964", "known": discovery.List(),
		"limits": object{"cores": defaultTo(o.cores, 1), "memory_mb": defaultTo(o.memoryMB, 64), "sockets": defaultTo(o.sockets, 384)},
		"settings": object{
			"areas": []string{"a"}, "az": 0, "kinds": []string{"m1"}, "my_number": 0, "replicas_of_me": 1, "discovery": "subscribe",
			"grades":        []object{class(classIdempotent, "retryable"), class(classKeyed, "dedup"), class(classAtMostOnce, "fragile")},
			"tenants":       []object{{"name": "acme", "share": 1, "quota_per_s": 100000}},
			"policy_limits": limits,
			"rules":         object{"answer_slack": int64(20 * time.Millisecond), "drain_grace": int64(250 * time.Millisecond), "ask_every": int64(10 * time.Second)},
			"family_info":   rollout,
		},
	}
	if o.platform != "" {
		config["platform"] = object{"address": o.platform,
			"news": object{"image": 1, "ring": 0, "progress": "stable", "ceiling": 1, "lag_ms": 5000}}
	}
	return config
}

// defaultTo returns the value, or the default if the value is zero.
func defaultTo[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

// log returns what the relay has logged.
func (r *relayProcess) log() string {
	r.t.Helper()
	files, err := filepath.Glob(filepath.Join(r.dir, "serve-*.log"))
	if err != nil || len(files) != 1 {
		r.t.Fatalf("log files %q: %v", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		r.t.Fatal(err)
	}
	return string(text)
}

// waitLog waits until the relay has logged a line that contains a text.
func (r *relayProcess) waitLog(text string) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(r.log(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("the relay logged no line with %q:\n%s", text, r.log())
		}
	}
}

// settle returns when the relay has processed what clients sent before: it answers an empty query on a new connection.
func (r *relayProcess) settle() {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	c.query("")
}

// peakMemoryMB returns the highest resident memory of the relay so far.
func (r *relayProcess) peakMemoryMB() float64 {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.PID()))
	if err != nil {
		r.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			if err != nil {
				r.t.Fatal(err)
			}
			return float64(kib) / 1024
		}
	}
	r.t.Fatal("no VmHWM in the status of the relay")
	return 0
}

// client is a client's connection to the relay under test.
type client struct {
	t *testing.T
	*fakes.Client
}

// dial opens a session with the relay.
func (r *relayProcess) dial() *client {
	r.t.Helper()
	c, err := fakes.Dial(r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{r.t, c}
}

// send writes queries in one write.
func (c *client) send(statements ...string) {
	c.t.Helper()
	var messages []byte
	for _, statement := range statements {
		messages = append(messages, pgwire.QueryMessage(statement)...)
	}
	if _, err := c.Write(messages); err != nil {
		c.t.Fatal(err)
	}
}

// receive waits for the response to one query. Its code is "closed" if the connection ended first.
func (c *client) receive(within time.Duration) fakes.Response {
	c.t.Helper()
	response, err := c.Receive(within)
	if err != nil && response.Code == "" {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatalf("no response within %v", within)
		}
		response.Code = "closed"
	}
	return response
}

// query sends a query and waits for its response.
func (c *client) query(statement string) fakes.Response {
	c.t.Helper()
	c.send(statement)
	return c.receive(testTimeout)
}

// request returns the statement of a request with an id, as a usual client of the class sends it.
func request(class, id string) string {
	if class == classIdempotent {
		return fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a' /* id=%s,c=%s,t=acme,d=%d */", id, class, classDeadline.Milliseconds())
	}
	return writeRequest(class, id, 1)
}

// writeRequest returns the statement of a request that writes a value of the given number of bytes.
func writeRequest(class, id string, valueBytes int) string {
	key := ""
	if class == classKeyed {
		key = ",k=" + id
	}
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a', '\x%s') RETURNING body /* id=%s,c=%s,t=acme,d=%d%s */`,
		strings.Repeat("9f", valueBytes), id, class, classDeadline.Milliseconds(), key)
}
