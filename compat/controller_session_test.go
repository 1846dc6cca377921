package compat_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// controllerPlan is a plan of three services: a is promoted by votes, b depends on a, and c is promoted by the clock at once.
func controllerPlan(voteLife string, addresses map[string]string) string {
	return fmt.Sprintf(`<plan version="1"><site name="x"/><group name="g"/>
<service name="a" watch=%q back-for="1s" settle="0s"><votes on="0.6" back="0.3" life=%q/>
<step name="one" share="0.1" cap="0.1" least="0s"><open/></step><step name="two" share="1" cap="0.5" least="0s"/>
<relay name="r0" listen=%q/><relay name="r1" listen=%q/><relay name="r2" listen=%q/></service>
<service name="b" watch=%q><step name="one" share="0.1" cap="0.25" least="0s"><open/><needs service="a"/></step><relay name="q0"/></service>
<service name="c" watch=%q back-for="1s" settle="0s"><votes control="clock" step-time="0s"/>
<step name="one" share="0.1" cap="0.1" least="0s"><open/></step><step name="two" share="1" cap="1" least="0s"/><relay name="s0"/></service></plan>`,
		addresses["a"], voteLife, addresses["r0"], addresses["r1"], addresses["r2"], addresses["b"], addresses["c"])
}

// controller is a release controller that runs, with a test's connections to it.
type controller struct {
	t         *testing.T
	process   *process
	state     string
	plan      string
	addresses map[string]string // by relay for its votes, and by service for its watch
	masked    timeSpan
	watches   map[string]*lineClient
}

// planFor writes the plan with free addresses, and returns these by name.
func planFor(t *testing.T, voteLife string) (path string, at map[string]string) {
	t.Helper()
	at = map[string]string{}
	for _, name := range []string{"a", "b", "c", "r0", "r1", "r2"} {
		at[name] = freeAddress(t)
	}
	path = filepath.Join(t.TempDir(), "plan.xml")
	if err := os.WriteFile(path, []byte(controllerPlan(voteLife, at)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, at
}

// startFreshController runs a release controller on an empty state directory. Votes live longer than any test. Times of the
// next day are masked too, as an operator's freeze ends some hours later.
func startFreshController(t *testing.T) *controller {
	t.Helper()
	return startController(t, t.TempDir(), "1h", spanFromNow(24*time.Hour))
}

// startController runs a release controller on a state directory and waits until operators can reach it.
func startController(t *testing.T, state, voteLife string, masked timeSpan) *controller {
	t.Helper()
	controller := &controller{t: t, state: state, masked: masked, watches: map[string]*lineClient{}}
	controller.plan, controller.addresses = planFor(t, voteLife)
	controller.process = run(t, "desk", "run", "--plan", controller.plan, "--state", state)
	eventually(t, "the control file is there", func() bool {
		if controller.process.hasEnded() {
			t.Fatalf("the release controller ended:\n%s", controller.process.logged)
		}
		_, err := os.Stat(filepath.Join(state, "control"))
		return err == nil
	})
	return controller
}

// request sends one line to the control socket and returns the reply. WORD stands for the secret.
func (c *controller) request(text string) string {
	c.t.Helper()
	words := strings.Fields(string(readFile(c.t, filepath.Join(c.state, "control"))))
	if len(words) != 2 {
		c.t.Fatalf("the control file holds %d words, want an address and a secret", len(words))
	}
	n, err := net.Dial("tcp", words[0])
	if err != nil {
		c.t.Fatal(err)
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(n, "%s\n", strings.ReplaceAll(text, "WORD", words[1]))
	answer, err := io.ReadAll(n)
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSuffix(maskTextTimes(maskTimes(string(answer), c.masked)), "\n")
}

// lineClient is a connection that speaks the rollout platform's line protocol.
type lineClient struct {
	net.Conn
	reader    *bufio.Reader
	lastState string
}

// watch returns the connection to a service's watch, which the first call opens.
func (c *controller) watch(service string) *lineClient {
	c.t.Helper()
	if c.watches[service] == nil {
		c.watches[service] = c.dial(service)
	}
	return c.watches[service]
}

// dial opens a connection to a relay's address or to a service's watch.
func (c *controller) dial(name string) *lineClient {
	c.t.Helper()
	var n net.Conn
	eventually(c.t, "the release controller listens for "+name, func() (up bool) {
		var err error
		n, err = net.Dial("tcp", c.addresses[name])
		return err == nil
	})
	n.SetDeadline(time.Now().Add(2 * testTimeout))
	c.t.Cleanup(func() { n.Close() })
	return &lineClient{Conn: n, reader: bufio.NewReader(n)}
}

var lastNumber = regexp.MustCompile(` [0-9]+\r\n$`)

// maskAge replaces the last field of a rollout state, its age in milliseconds.
func maskAge(line string) string { return lastNumber.ReplaceAllString(line, " AGE\r\n") }

// request sends a line and returns the reply. Watch events that come before it are left out.
func (c *lineClient) request(t *testing.T, line string) string {
	t.Helper()
	fmt.Fprintf(c, "%s\r\n", line)
	for {
		if got := c.read(t); !strings.HasPrefix(got, "*") {
			return got
		}
	}
}

func (c *lineClient) read(t *testing.T) string {
	t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return maskAge(line)
}

// readStates reads watch events up to a given one. Heartbeats and repeated states are left out: how many of them come depends
// on how long the test takes.
func (c *lineClient) readStates(t *testing.T, until string) (lines []string) {
	t.Helper()
	for {
		line := c.read(t)
		if line != "*\r\n" && line != c.lastState {
			lines, c.lastState = append(lines, line), line
		}
		if line == until {
			return lines
		}
	}
}

// step is one step of a session; exactly one field is set.
type step struct {
	control string    // a request to the control socket, without the secret's field
	raw     string    // the same, sent as it is
	tool    []string  // arguments of the tool's desk command, without --state
	line    [2]string // a relay or service, and the line to send it
	states  [2]string // a service, and the last of the watch events to read from it
}

var controllerSession = []step{
	{raw: `no JSON`},
	{raw: `{"word":"guessed","verb":"status"}`},
	{raw: `{"verb":"status"}`},
	{control: `"verb":"status"`},
	{control: `"verb":"fly"`},
	{control: `"verb":"offer","service":"z","build":7,"who":"ops","why":"w"`},
	{control: `"verb":"offer","service":"a","build":7,"why":"nobody said who"`},
	{control: `"verb":"offer","service":"a","build":0,"who":"ops","why":"w"`},
	{control: `"verb":"back","service":"a","who":"ops","why":"w"`},
	{line: [2]string{"a", "WATCH"}},
	{line: [2]string{"r0", "VOTE 7 0 approve"}},
	{control: `"verb":"offer","service":"a","build":7,"who":"ops","why":"the first"`},
	{states: [2]string{"a", "* news 7 0 canary 0.1 AGE\r\n"}},
	{control: `"verb":"offer","service":"a","build":7,"who":"ops","why":"again"`},
	{control: `"verb":"offer","service":"a","build":9,"who":"ops","why":"the next"`},
	{tool: []string{"offer", "a", "10", "--who", "ops", "--why", "it overtakes 9"}},
	{tool: []string{"offer", "a", "x", "--who", "ops", "--why", "no build"}},
	{tool: []string{"offer", "a", "12"}},
	{line: [2]string{"r0", "VOTE 7 0"}},
	{line: [2]string{"r0", "FLY"}},
	{line: [2]string{"r0", "VOTE 7 0 maybe"}},
	{line: [2]string{"r0", "VOTE -1 0 approve"}},
	{line: [2]string{"r0", "VOTE 8 0 approve"}},
	{line: [2]string{"r0", "VOTE 7 1 approve"}},
	{line: [2]string{"a", "VOTE 7 0 approve"}},
	{line: [2]string{"r2", "VOTE 7 0 wait"}},
	{line: [2]string{"r2", "VOTE 7 0 clear"}},
	{line: [2]string{"r0", "VOTE 7 0 approve"}},
	{line: [2]string{"r1", "VOTE 7 0 approve"}},
	{states: [2]string{"a", "* news 7 1 canary 0.5 AGE\r\n"}},
	{control: `"verb":"halt","service":"a","who":"ops","why":"look first"`},
	{control: `"verb":"halt","service":"a","who":"ops","why":"twice"`},
	{line: [2]string{"r0", "VOTE 7 1 approve"}},
	{line: [2]string{"r1", "VOTE 7 1 approve"}},
	{tool: []string{"status"}},
	{tool: []string{"resume", "a", "--who", "ops", "--why", "all is well"}},
	{states: [2]string{"a", "* news 10 0 canary 0.1 AGE\r\n"}},
	{control: `"verb":"freeze","name":"audit","until":4102444800,"who":"ops","why":"an \"audit\" <of all>"`},
	{control: `"verb":"freeze","name":"audit","who":"ops","why":"the name is taken"`},
	{control: `"verb":"freeze","name":"late","until":1000,"who":"ops","why":"over already"`},
	{control: `"verb":"freeze","name":"one","service":"z","who":"ops","why":"no such service"`},
	{tool: []string{"freeze", "evening", "--service", "b", "--for", "2h", "--who", "ops", "--why", "for some hours"}},
	{tool: []string{"thaw", "evening", "--who", "ops", "--why", "not that long"}},
	{control: `"verb":"thaw","name":"none","who":"ops","why":"w"`},
	{line: [2]string{"r0", "VOTE 10 0 approve"}},
	{line: [2]string{"r1", "VOTE 10 0 approve"}},
	{control: `"verb":"status"`},
	{line: [2]string{"r2", "VOTE 10 0 reject"}},
	{states: [2]string{"a", "* news 10 0 reverted 0 AGE\r\n"}},
	{line: [2]string{"r2", "VOTE 10 0 reject"}},
	{control: `"verb":"offer","service":"b","build":3,"who":"ops","why":"needs a"`},
	{control: `"verb":"thaw","name":"audit","who":"ops","why":"done"`},
	{line: [2]string{"c", "WATCH"}},
	{tool: []string{"offer", "c", "5", "--who", "ops", "--why", "by the clock"}},
	{states: [2]string{"c", "* news 5 1 stable 1 AGE\r\n"}},
	{tool: []string{"back", "c", "--who", "ops", "--why", "a fault"}},
	{states: [2]string{"c", "* news 5 1 reverted 0 AGE\r\n"}},
	{tool: []string{"back", "c", "--who", "ops", "--why", "twice"}},
	{control: `"verb":"freeze","name":"kept","service":"a","who":"ops","why":"it stays"`},
	{control: `"verb":"halt","service":"b","who":"ops","why":"it stays too"`},
	{tool: []string{"status"}},
	{tool: []string{"status", "--json"}},
	{tool: []string{"history"}},
	{tool: []string{"history", "--votes", "--last", "5"}},
	{tool: []string{"history", "--json", "--last", "3"}},
	{tool: []string{"history", "--last", "0"}},
	{control: `"verb":"history","last":4`},
	{control: `"verb":"history","votes":true,"last":10001`},
}

// do carries out a step and returns its lines of the golden file.
func (c *controller) do(s step) (lines []string) {
	c.t.Helper()
	switch {
	case s.raw != "":
		return []string{"> " + s.raw, "< " + c.request(s.raw)}
	case s.control != "":
		return []string{"> " + s.control, "< " + c.request(`{"word":"WORD",`+s.control+`}`)}
	case s.tool != nil:
		r := call(c.t, append(append([]string{"desk"}, s.tool...), "--state", c.state)...)
		lines = append(lines, "$ desk "+strings.Join(s.tool, " "), fmt.Sprintf("exit %d, %d lines of fault", r.code, len(r.errorLines())))
		return append(lines, strings.Split(maskTextTimes(maskTimes(r.out, c.masked)), "\n")...)
	case s.line[0] != "":
		client := (*lineClient)(nil)
		if s.line[1] == "WATCH" {
			client = c.watch(s.line[0])
		} else {
			client = c.dial(s.line[0]) // a new one: the release controller closes connections that are idle for some seconds
			defer client.Close()
		}
		return []string{fmt.Sprintf("%s> %s", s.line[0], s.line[1]), fmt.Sprintf("%s< %q", s.line[0], client.request(c.t, s.line[1]))}
	}
	for _, line := range c.watch(s.states[0]).readStates(c.t, s.states[1]) {
		lines = append(lines, fmt.Sprintf("%s< %q", s.states[0], line))
	}
	return lines
}

// TestControllerSession takes a release controller through every request of operators and relays, and compares the replies and
// the journal.
func TestControllerSession(t *testing.T) {
	if !*keep { // other tests read the kept journals
		t.Parallel()
	}
	controller := startFreshController(t)
	var lines []string
	for _, s := range controllerSession {
		lines = append(lines, controller.do(s)...)
	}
	second := call(t, "desk", "run", "--plan", controller.plan, "--state", controller.state)
	lines = append(lines, fmt.Sprintf("a second desk: exit %d, %d lines", second.code, len(second.errorLines())))
	controller.process.stop()
	gone := call(t, "desk", "status", "--state", controller.state)
	lines = append(lines, fmt.Sprintf("no desk: exit %d, %d lines", gone.code, len(gone.errorLines())))
	checkGolden(t, "desk/session", lines)
	checkGolden(t, "desk/session-journal", journalLines(t, filepath.Join(controller.state, "journal"), controller.masked))
	keepJournals(t, controller.state, "kept-session")
}

// TestControllerCompaction writes until the journal was compacted twice, which leaves archives, and a snapshot with records after it.
func TestControllerCompaction(t *testing.T) {
	if !*keep { // other tests read the kept journals
		t.Parallel()
	}
	controller := startFreshController(t)
	for _, s := range controllerSession {
		if s.tool == nil || !slices.Contains([]string{"status", "history"}, s.tool[0]) {
			controller.do(s)
		}
	}
	// A '<' takes six bytes in JSON, so that the journal grows to its 4 MiB within few events.
	long := strings.Repeat("<", 15000)
	for archives := 1; archives <= 2; archives++ {
		name := filepath.Join(controller.state, fmt.Sprintf("journal.%08d", archives))
		eventually(t, name+" is there", func() bool {
			for _, verb := range []string{"freeze", "thaw"} {
				raw, _ := json.Marshal(map[string]string{"verb": verb, "name": "NAME", "who": "ops", "why": "to fill the journal"})
				request := strings.Replace(string(raw), "NAME", long, 1)
				controller.request(`{"word":"WORD",` + request[1:])
			}
			controller.request(`{"word":"WORD","verb":"status"}`) // the reply comes after all that the last request led to
			_, err := os.Stat(name)
			return err == nil
		})
	}
	controller.do(step{control: `"verb":"resume","service":"b","who":"ops","why":"after the snapshot"`})
	controller.process.stop()
	files, err := filepath.Glob(filepath.Join(controller.state, "journal*"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, file := range files {
		lines = append(lines, filepath.Base(file))
		lines = append(lines, journalLines(t, file, controller.masked)...)
	}
	checkGolden(t, "desk/compaction-journals", lines)
	keepJournals(t, controller.state, "kept-compaction")
}
