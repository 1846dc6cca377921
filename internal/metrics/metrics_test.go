package metrics

import (
	"bytes"
	"errors"
	"regexp"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestCounterNames checks that each counter has a unique name in snake_case.
func TestCounterNames(t *testing.T) {
	named := map[string]Counter{}
	snakeCase := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	for i, name := range counterNames {
		id := Counter(i)
		if !snakeCase.MatchString(name) {
			t.Errorf("counter %d is named %q", id, name)
		}
		if other, twice := named[name]; twice {
			t.Errorf("counters %d and %d are both named %q", other, id, name)
		}
		named[name] = id
	}
}

// TestFields checks that each counter's value is reported under its name.
func TestFields(t *testing.T) {
	var c Counters
	for i := range counterNames {
		c.Add(Counter(i), int64(i)+1)
		c.Add(Counter(i), -1)
	}
	fields := c.Fields()
	if len(fields) != int(counterCount) {
		t.Errorf("got %d fields for %d counters", len(fields), counterCount)
	}
	for i, name := range counterNames {
		if got := c.Get(Counter(i)); got != int64(i) || fields[name] != got {
			t.Errorf("%s: got %d, logged as %v, want %d", name, got, fields[name], i)
		}
	}
}

// TestConnectionEndLine compares whole log lines, which scripts read.
func TestConnectionEndLine(t *testing.T) {
	for name, c := range map[string]struct {
		end  ConnectionEnd
		want string
	}{
		"without an error": {
			ConnectionEnd{Peer: PeerClient, Name: "127.0.0.1:9", Reason: ClosedByTerminate, Age: 1.23456, Requests: 3},
			"level=info msg=\"connection ended\" age=1.235 name=\"127.0.0.1:9\" peer=client reason=terminate requests=3\n"},
		"with an error": {
			ConnectionEnd{Peer: PeerEndpoint, Name: "u1", Reason: ClosedByConnectError, Err: errors.New("no route")},
			"level=info msg=\"connection ended\" age=0 error=\"no route\" name=u1 peer=endpoint reason=connect_failed requests=0\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
			c.end.Log(log)
			if out.String() != c.want {
				t.Errorf("got %s, want %s", out.String(), c.want)
			}
		})
	}
}
