package systemtest

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// TestBadPlatformAnswers guards against a relay that goes on with a connection to the platform, or stops to serve, after an answer
// that can't be read.
func TestBadPlatformAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"noise":             "\xf7\x13\x00\x9a\xff\xfe\r\n",
		"noise, no line":    "\xf7\x13\x00\x9a\xff\xfe",
		"a part":            "O",
		"a part of news":    "OK\r\n* news 1 0 stab\r\n",
		"other bytes":       "OK\r\n* news x y stable 1 5000\r\n",
		"other words":       "HTTP/1.1 400 Bad Request\r\n",
		"line that is long": "OK\r\n* " + strings.Repeat("x", 1<<14) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform, watches := startBadPlatform(t, answer)
			relay := startRelay(t, relayOptions{platform: platform}, startEndpoint(t, 0))
			for range 2 { // the one that got the bad answer, and the one that takes its place
				select {
				case <-watches:
				case <-time.After(testTimeout):
					t.Fatalf("the relay opened no other watch:\n%s", relay.log())
				}
			}
			relay.waitLog("peer=platform")
			if response := relay.dial().query(request(classAtMostOnce, "1")); response.Value == "" {
				t.Errorf("a request was not served: %+v", response)
			}
		})
	}
}

// startBadPlatform starts a platform that gives one answer to each WATCH. The channel gets a value for each of them.
func startBadPlatform(t *testing.T, answer string) (address string, watches <-chan struct{}) {
	t.Helper()
	listener := listen(t)
	watched := make(chan struct{}, 1000)
	serveConnections(t, listener, func(connection net.Conn) {
		for lines := bufio.NewScanner(connection); lines.Scan(); {
			if lines.Text() == "WATCH" {
				watched <- struct{}{}
				_, _ = connection.Write([]byte(answer))
			}
		}
	})
	return listener.Addr().String(), watched
}
