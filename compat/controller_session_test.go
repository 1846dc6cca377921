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

// controllerPlan returns a rollout plan of three services: a is promoted by votes, b depends on a, and c is promoted by time,
// without delay.
func controllerPlan(voteTTL string, addresses map[string]string) string {
	return fmt.Sprintf(`<plan version="1"><site name="x"/><group name="g"/>
<service name="a" watch=%q back-for="1s" settle="0s"><votes on="0.6" back="0.3" life=%q/>
<step name="one" share="0.1" cap="0.1" least="0s"><open/></step><step name="two" share="1" cap="0.5" least="0s"/>
<relay name="r0" listen=%q/><relay name="r1" listen=%q/><relay name="r2" listen=%q/></service>
<service name="b" watch=%q><step name="one" share="0.1" cap="0.25" least="0s"><open/><needs service="a"/></step><relay name="q0"/></service>
<service name="c" watch=%q back-for="1s" settle="0s"><votes control="clock" step-time="0s"/>
<step name="one" share="0.1" cap="0.1" least="0s"><open/></step><step name="two" share="1" cap="1" least="0s"/><relay name="s0"/></service></plan>`,
		addresses["a"], voteTTL, addresses["r0"], addresses["r1"], addresses["r2"], addresses["b"], addresses["c"])
}

// controller is a running release controller with a test's connections to it.
type controller struct {
	t         *testing.T
	process   *process
	stateDir  string
	planPath  string
	addresses map[string]string // by name: of a relay, to which it sends votes, or of a service, to watch its rollout
	masked    timeSpan
	watches   map[string]*lineClient
}

// writePlan writes a plan with free addresses, and returns these by name.
func writePlan(t *testing.T, voteTTL string) (path string, addresses map[string]string) {
	t.Helper()
	addresses = map[string]string{}
	for _, name := range []string{"a", "b", "c", "r0", "r1", "r2"} {
		addresses[name] = freeAddress(t)
	}
	path = filepath.Join(t.TempDir(), "plan.xml")
	if err := os.WriteFile(path, []byte(controllerPlan(voteTTL, addresses)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, addresses
}

// startFreshController starts a release controller with an empty state directory. No vote expires before a test ends. Times
// of the next 24 hours are masked, because the session contains a freeze that ends some hours later.
func startFreshController(t *testing.T) *controller {
	t.Helper()
	return startController(t, t.TempDir(), "1h", spanFromNow(24*time.Hour))
}

// startController starts a release controller with a state directory and waits until operators can reach it.
func startController(t *testing.T, stateDir, voteTTL string, masked timeSpan) *controller {
	t.Helper()
	controller := &controller{t: t, stateDir: stateDir, masked: masked, watches: map[string]*lineClient{}}
	controller.planPath, controller.addresses = writePlan(t, voteTTL)
	controller.process = startTool(t, "desk", "run", "--plan", controller.planPath, "--state", stateDir)
	eventually(t, "the control file exists", func() bool {
		if controller.process.hasEnded() {
			t.Fatalf("the release controller ended:\n%s", controller.process.output)
		}
		_, err := os.Stat(filepath.Join(stateDir, "control"))
		return err == nil
	})
	return controller
}

// request sends one line to the control socket and returns the reply. WORD in the line stands for the token.
func (c *controller) request(text string) string {
	c.t.Helper()
	fields := strings.Fields(string(readFile(c.t, filepath.Join(c.stateDir, "control"))))
	if len(fields) != 2 {
		c.t.Fatalf("the control file has %d fields, want an address and a token", len(fields))
	}
	conn, err := net.Dial("tcp", fields[0])
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "%s\n", strings.ReplaceAll(text, "WORD", fields[1]))
	reply, err := io.ReadAll(conn)
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSuffix(maskTextTimes(maskTimes(string(reply), c.masked)), "\n")
}

// lineClient is a connection that speaks the rollout platform's line protocol.
type lineClient struct {
	net.Conn
	reader     *bufio.Reader
	lastStatus string
}

// watch returns the connection that watches a service's rollout. The first call opens it.
func (c *controller) watch(service string) *lineClient {
	c.t.Helper()
	if c.watches[service] == nil {
		c.watches[service] = c.dial(service)
	}
	return c.watches[service]
}

// dial connects to the address of a relay or a service.
func (c *controller) dial(name string) *lineClient {
	c.t.Helper()
	var conn net.Conn
	eventually(c.t, "the release controller listens for "+name, func() (listens bool) {
		var err error
		conn, err = net.Dial("tcp", c.addresses[name])
		return err == nil
	})
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	c.t.Cleanup(func() { conn.Close() })
	return &lineClient{Conn: conn, reader: bufio.NewReader(conn)}
}

var lastNumber = regexp.MustCompile(` [0-9]+\r\n$`)

// maskAge replaces the last field of a rollout status, its age in milliseconds.
func maskAge(line string) string { return lastNumber.ReplaceAllString(line, " AGE\r\n") }

// request sends a line and returns the reply. It skips rollout statuses that arrive before the reply.
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

// readStatuses returns the rollout statuses up to and including a given one. It skips keep-alives and repeated statuses,
// whose number depends on how long the test takes.
func (c *lineClient) readStatuses(t *testing.T, until string) (lines []string) {
	t.Helper()
	for {
		line := c.read(t)
		if line != "*\r\n" && line != c.lastStatus {
			lines, c.lastStatus = append(lines, line), line
		}
		if line == until {
			return lines
		}
	}
}

// sessionStep is one step of a session; exactly one field is set.
type sessionStep struct {
	control  string    // fields of a request to the control socket, without the token
	raw      string    // a line to the control socket, sent unchanged
	tool     []string  // arguments of `lichenroad desk`, without --state
	line     [2]string // name of a relay or a service, and the line to send to its address
	statuses [2]string // name of a service, and the last of the rollout statuses to read
}

var controllerSession = []sessionStep{
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
	{statuses: [2]string{"a", "* news 7 0 canary 0.1 AGE\r\n"}},
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
	{statuses: [2]string{"a", "* news 7 1 canary 0.5 AGE\r\n"}},
	{control: `"verb":"halt","service":"a","who":"ops","why":"look first"`},
	{control: `"verb":"halt","service":"a","who":"ops","why":"twice"`},
	{line: [2]string{"r0", "VOTE 7 1 approve"}},
	{line: [2]string{"r1", "VOTE 7 1 approve"}},
	{tool: []string{"status"}},
	{tool: []string{"resume", "a", "--who", "ops", "--why", "all is well"}},
	{statuses: [2]string{"a", "* news 10 0 canary 0.1 AGE\r\n"}},
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
	{statuses: [2]string{"a", "* news 10 0 reverted 0 AGE\r\n"}},
	{line: [2]string{"r2", "VOTE 10 0 reject"}},
	{control: `"verb":"offer","service":"b","build":3,"who":"ops","why":"needs a"`},
	{control: `"verb":"thaw","name":"audit","who":"ops","why":"done"`},
	{line: [2]string{"c", "WATCH"}},
	{tool: []string{"offer", "c", "5", "--who", "ops", "--why", "by the clock"}},
	{statuses: [2]string{"c", "* news 5 1 stable 1 AGE\r\n"}},
	{tool: []string{"back", "c", "--who", "ops", "--why", "a fault"}},
	{statuses: [2]string{"c", "* news 5 1 reverted 0 AGE\r\n"}},
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

// runStep carries out a step and returns the lines for the golden file.
func (c *controller) runStep(s sessionStep) (lines []string) {
	c.t.Helper()
	switch {
	case s.raw != "":
		return []string{"> " + s.raw, "< " + c.request(s.raw)}
	case s.control != "":
		return []string{"> " + s.control, "< " + c.request(`{"word":"WORD",`+s.control+`}`)}
	case s.tool != nil:
		r := runTool(c.t, append(append([]string{"desk"}, s.tool...), "--state", c.stateDir)...)
		lines = append(lines, "$ desk "+strings.Join(s.tool, " "), fmt.Sprintf("exit %d, %d lines of fault", r.code, len(r.errorLines())))
		return append(lines, strings.Split(maskTextTimes(maskTimes(r.stdout, c.masked)), "\n")...)
	case s.line[0] != "":
		client := (*lineClient)(nil)
		if s.line[1] == "WATCH" {
			client = c.watch(s.line[0])
		} else {
			client = c.dial(s.line[0]) // not reused, because the release controller closes a connection that is idle for some seconds
			defer client.Close()
		}
		return []string{fmt.Sprintf("%s> %s", s.line[0], s.line[1]), fmt.Sprintf("%s< %q", s.line[0], client.request(c.t, s.line[1]))}
	}
	for _, line := range c.watch(s.statuses[0]).readStatuses(c.t, s.statuses[1]) {
		lines = append(lines, fmt.Sprintf("%s< %q", s.statuses[0], line))
	}
	return lines
}

// TestControllerSession sends a release controller every kind of request that operators and relays make, and compares the
// replies and the journal.
func TestControllerSession(t *testing.T) {
	if !*updateJournals { // with -keep-journals, this test writes files that other tests read
		t.Parallel()
	}
	controller := startFreshController(t)
	var lines []string
	for _, s := range controllerSession {
		lines = append(lines, controller.runStep(s)...)
	}
	secondRun := runTool(t, "desk", "run", "--plan", controller.planPath, "--state", controller.stateDir)
	lines = append(lines, fmt.Sprintf("a second desk: exit %d, %d lines", secondRun.code, len(secondRun.errorLines())))
	controller.process.stop()
	afterStop := runTool(t, "desk", "status", "--state", controller.stateDir)
	lines = append(lines, fmt.Sprintf("no desk: exit %d, %d lines", afterStop.code, len(afterStop.errorLines())))
	checkGolden(t, "desk/session", lines)
	checkGolden(t, "desk/session-journal", journalLines(t, filepath.Join(controller.stateDir, "journal"), controller.masked))
	recordJournals(t, controller.stateDir, "kept-session")
}

// TestControllerCompaction sends requests until the journal has been compacted twice, and compares the files: two archives,
// and a journal that begins with a snapshot.
func TestControllerCompaction(t *testing.T) {
	if !*updateJournals { // with -keep-journals, this test writes files that other tests read
		t.Parallel()
	}
	controller := startFreshController(t)
	for _, s := range controllerSession {
		if s.tool == nil || !slices.Contains([]string{"status", "history"}, s.tool[0]) {
			controller.runStep(s)
		}
	}
	// JSON encodes each '<' in six bytes, so the journal reaches its compaction threshold of 4 MiB after few events.
	longName := strings.Repeat("<", 15000)
	for archives := 1; archives <= 2; archives++ {
		name := filepath.Join(controller.stateDir, fmt.Sprintf("journal.%08d", archives))
		eventually(t, name+" exists", func() bool {
			for _, verb := range []string{"freeze", "thaw"} {
				raw, _ := json.Marshal(map[string]string{"verb": verb, "name": "NAME", "who": "ops", "why": "to fill the journal"})
				request := strings.Replace(string(raw), "NAME", longName, 1)
				controller.request(`{"word":"WORD",` + request[1:])
			}
			controller.request(`{"word":"WORD","verb":"status"}`) // answered only after the last request has taken full effect
			_, err := os.Stat(name)
			return err == nil
		})
	}
	controller.runStep(sessionStep{control: `"verb":"resume","service":"b","who":"ops","why":"after the snapshot"`})
	controller.process.stop()
	files, err := filepath.Glob(filepath.Join(controller.stateDir, "journal*"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, file := range files {
		lines = append(lines, filepath.Base(file))
		lines = append(lines, journalLines(t, file, controller.masked)...)
	}
	checkGolden(t, "desk/compaction-journals", lines)
	recordJournals(t, controller.stateDir, "kept-compaction")
}
