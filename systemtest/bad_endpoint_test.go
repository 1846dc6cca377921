package systemtest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// badAnswer is how an endpoint answers a request.
type badAnswer struct {
	bytes   func(good []byte) []byte // from the good answer
	behind  []byte                   // sent some milliseconds later
	endless []byte                   // sent again and again behind that
	served  bool                     // the answer is good, whatever comes with it
}

// as returns a function that replaces the good answer.
func as(answer string) func([]byte) []byte {
	return func([]byte) []byte { return []byte(answer) }
}

// replaced returns a function that replaces a part of the good answer.
func replaced(part, by string) func([]byte) []byte {
	return func(good []byte) []byte { return bytes.Replace(good, []byte(part), []byte(by), 1) }
}

const (
	readyForQuery = "Z\x00\x00\x00\x05I"
	rowOfThreeGB  = "T\x00\x00\x00\x1d\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01D\xc0\x00\x00\x0a\x00\x01\xc0\x00\x00\x00"
)

var badAnswers = map[string]badAnswer{
	"good":                        {bytes: replaced("", ""), served: true},
	"noise":                       {bytes: as("\xf7\x13\x00\x9a\xff\xfe\x00\x00\x01\x17")},
	"line that can't be read":     {bytes: as("HTTP/1.1 400 Bad Request\r\n\r\n")},
	"line without end":            {bytes: as(""), endless: []byte(strings.Repeat("served ", 1000))},
	"negative length":             {bytes: replaced("D", "D\xff\xff\xff\xff")},
	"length of a row too large":   {bytes: replaced("\x00\x01\x00\x00\x00", "\x00\x01\x00\x00\x7f")},
	"value of 3 GB":               {bytes: as(rowOfThreeGB), endless: make([]byte, 1<<16)},
	"two rows":                    {bytes: twoRows},
	"row and an error":            {bytes: rowAndError},
	"half an answer":              {bytes: func(good []byte) []byte { return good[:len(good)/2] }},
	"no value":                    {bytes: replaced("\x00\x01\x00\x00\x00", "\x00\x01\xff\xff\xff")},
	"ready without an answer":     {bytes: as(readyForQuery)},
	"second copy right behind":    {bytes: func(good []byte) []byte { return append(good[:len(good):len(good)], good...) }, served: true},
	"second copy some ms behind":  {bytes: replaced("", ""), behind: pgwire.AppendReadyForQuery(fakes.Row("another")), served: true},
	"noise right behind":          {bytes: func(good []byte) []byte { return append(good[:len(good):len(good)], "\xf7\x13\x00"...) }, served: true},
	"noise some ms behind":        {bytes: replaced("", ""), behind: []byte("\xf7\x13\x00"), served: true},
	"load report that is no text": {bytes: func(good []byte) []byte { return append([]byte("S\x00\x00\x00\x0evitals\x00\xff\xff\x00"), good...) }, served: true},
}

// twoRows doubles the row of an answer.
func twoRows(good []byte) []byte {
	row := bytes.IndexByte(good, 'D')
	end := row + 1 + int(binary.BigEndian.Uint32(good[row+1:]))
	return bytes.Join([][]byte{good[:end], good[row:]}, nil)
}

// rowAndError puts an error in place of the end of an answer.
func rowAndError(good []byte) []byte {
	row := bytes.IndexByte(good, 'D')
	end := row + 1 + int(binary.BigEndian.Uint32(good[row+1:]))
	return pgwire.AppendReadyForQuery(append(good[:end:end], pgwire.ErrorResponse(pgwire.Error, "XX000", "broken", "")...))
}

// startBadEndpoint starts an endpoint that answers requests whose id begins with "bad" in a bad way, and others well. The value of
// an answer is the id.
func startBadEndpoint(t *testing.T, answer badAnswer) *endpoint {
	return startScriptedEndpoint(t, func(id string) reply {
		if !strings.HasPrefix(id, "bad") {
			return reply{}
		}
		return reply{bytes: answer.bytes, behind: answer.behind, endless: answer.endless}
	})
}

// TestBadEndpointAnswers guards against serving a client with a spoilt answer, or with one that belongs to another request, and
// against running an at-most-once request again behind one.
func TestBadEndpointAnswers(t *testing.T) {
	for name, answer := range badAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			unit := startBadEndpoint(t, answer)
			relay := startRelay(t, relayOptions{}, unit)
			session := relay.dial()
			for i := range 3 {
				id := fmt.Sprint("bad-", i)
				response := session.query(request(classAtMostOnce, id))
				switch {
				case answer.served && response.Value != id:
					t.Errorf("a good answer was not passed on: %+v", response)
				case !answer.served && (response.Value != "" || isRefusal(response.Code) || response.Code == "closed"):
					t.Errorf("after a spoilt answer the client got %+v, want an error that promises nothing on effects", response)
				}
				if runs := unit.runsOf(id); runs != 1 {
					t.Errorf("an at-most-once request ran %d times", runs)
				}
				for j := range 3 {
					id := fmt.Sprintf("good-%d-%d", i, j)
					if response := session.query(request(classIdempotent, id)); response.Value != id {
						t.Errorf("the request behind it got %+v, want value %s", response, id)
					}
				}
			}
		})
	}
}
