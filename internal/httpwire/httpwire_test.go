package httpwire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const (
	withLength = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nhello"
	chunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
		"3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\nT: 1\r\n\r\n"
	interim    = "HTTP/1.1 100 Continue\r\n\r\n" + withLength
	untilClose = "HTTP/1.0 200 OK\r\n\r\nhello"
	noBody     = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// feed feeds a response to the parser in two parts and formats the result.
func feed(raw string, cut int) string {
	var response Response
	consumed, err := response.Feed([]byte(raw[:cut]))
	if err == nil {
		var more int
		more, err = response.Feed([]byte(raw[cut:]))
		consumed += more
	}
	if err != nil {
		return "error"
	}
	return fmt.Sprintf("%d %q close=%v done=%v used=%d end=%v",
		response.Status, response.Body, response.Close, response.Done(), consumed, response.End())
}

func TestResponseCutAnywhere(t *testing.T) {
	for name, test := range map[string]struct{ raw, want string }{
		"with length, followed by other bytes": {withLength + "next",
			`200 "hello" close=false done=true used=` + fmt.Sprint(len(withLength)) + " end=<nil>"},
		"chunked":     {chunked, `200 "hello" close=true done=true used=` + fmt.Sprint(len(chunked)) + " end=<nil>"},
		"interim":     {interim, `200 "hello" close=false done=true used=` + fmt.Sprint(len(interim)) + " end=<nil>"},
		"until close": {untilClose, `200 "hello" close=true done=false used=` + fmt.Sprint(len(untilClose)) + " end=<nil>"},
		"no body":     {noBody, `503 "" close=false done=true used=` + fmt.Sprint(len(noBody)) + " end=<nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := 0; cut <= len(test.raw); cut++ {
				if got := feed(test.raw, cut); got != test.want {
					t.Errorf("cut at %d: got %s, want %s", cut, got, test.want)
				}
			}
		})
	}
}

func TestTruncatedResponse(t *testing.T) {
	for name, raw := range map[string]string{"with length": withLength, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			for n := range raw {
				var response Response
				_, err := response.Feed([]byte(raw[:n]))
				if err != nil || response.Done() || !errors.Is(response.End(), ErrTruncated) {
					t.Errorf("%q was not reported as truncated", raw[:n])
				}
			}
		})
	}
}

func TestMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, raw := range map[string]string{
		"another protocol":        "SSH-2.0\r\n",
		"status not a number":     "HTTP/1.1 abc\r\n",
		"status of four digits":   "HTTP/1.1 2000\r\n",
		"no field":                ok + "no field\r\n",
		"negative length":         ok + "Content-Length: -1\r\n",
		"two different lengths":   ok + "Content-Length: 1\r\nContent-Length: 2\r\n",
		"unknown encoding":        ok + "Transfer-Encoding: gzip\r\n",
		"length over the limit":   ok + "Content-Length: 9000000\r\n\r\n",
		"malformed chunk size":    ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"chunk over its size":     ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
		"chunked and with length": ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"endless header":          ok + strings.Repeat("a", MaxHeaderBytes),
	} {
		t.Run(name, func(t *testing.T) {
			if got := feed(raw, 0); got != "error" {
				t.Errorf("%.60q: %s", raw, got)
			}
		})
	}
	t.Run("body over the limit", func(t *testing.T) {
		var response Response
		if _, err := response.Feed([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := response.Feed(make([]byte, MaxBodyBytes+1)); !errors.Is(err, ErrTooLong) {
			t.Errorf("got error %v, want ErrTooLong", err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	for _, raw := range []string{withLength, chunked, interim, untilClose, noBody} {
		f.Add(raw, 20)
	}
	f.Fuzz(func(t *testing.T, raw string, cut int) {
		if cut < 0 || cut > len(raw) {
			cut = 0
		}
		if inParts, whole := feed(raw, cut), feed(raw, 0); inParts != whole {
			t.Errorf("cut at %d: %s\nin one part: %s", cut, inParts, whole)
		}
	})
}
