package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"lichenroad/internal/buffer"
)

const (
	readText  = "SELECT body FROM objects WHERE oid = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */"
	writeText = `INSERT INTO objects (oid, body) VALUES ('7f3a', '\x9f03') RETURNING body ` +
		"/* id=9b1f,c=order,t=acme,d=480,k=5c0f,r=1,h=1500,new=1 */"
)

// split feeds a stream to a Splitter in two parts and formats the messages and the error that result.
func split(stream []byte, cut int) string {
	pool := buffer.NewPool(1 << 20)
	s := Splitter{Pool: pool, Startup: true}
	var b strings.Builder
	emit := func(m Message) error {
		fmt.Fprintf(&b, "%d:%q ", m.Type, m.Body.Bytes())
		if m.Type == 0 {
			kind, err := ParseStartup(m.Body.Bytes())
			fmt.Fprint(&b, kind, err, " ")
			s.Startup = kind != StartupSession
		}
		m.Body.Free()
		return nil
	}
	err := s.Feed(stream[:cut], emit)
	if err == nil {
		err = s.Feed(stream[cut:], emit)
	}
	s.Free()
	if pool.InUse() != 0 {
		return fmt.Sprintf("%d bytes were not freed", pool.InUse())
	}
	fmt.Fprint(&b, err)
	return b.String()
}

// session returns the stream of a session: a request for encryption, a startup packet, two queries (the second longer than
// a buffer) and Terminate.
func session() []byte {
	b := append([]byte{0, 0, 0, 8, 4, 210, 22, 47}, Startup("worker", "catalog")...)
	b = append(b, QueryMessage(readText)...)
	b = append(b, QueryMessage(strings.Repeat("x", 2*buffer.Size))...)
	return append(b, 'X', 0, 0, 0, 4)
}

func TestSplitterAtEachCut(t *testing.T) {
	stream := session()
	whole := split(stream, 0)
	if !strings.HasSuffix(whole, "<nil>") || strings.Count(whole, "81:") != 2 {
		t.Fatalf("unexpected messages: %.300s", whole)
	}
	for cut := range stream {
		if got := split(stream, cut); got != whole {
			t.Fatalf("cut at %d: %.300s", cut, got)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add(session(), 9)
	f.Add([]byte{0, 0, 0, 3}, 1)
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0, 'Q', 255, 255, 255, 255}, 10)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		if cut < 0 || cut > len(stream) {
			cut = len(stream)
		}
		if a, b := split(stream, cut), split(stream, 0); a != b {
			t.Errorf("cut at %d: %s\nwhole: %s", cut, a, b)
		}
	})
}

func TestSplitterBounds(t *testing.T) {
	for _, c := range []struct {
		name    string
		stream  []byte
		startup bool
		want    error
	}{
		{"shorter than its length field", []byte{'Q', 0, 0, 0, 3}, false, ErrMalformed},
		{"message too long", []byte{'Q', 0x7f, 0, 0, 0}, false, ErrTooLong},
		{"startup packet too long", []byte{0, 0, 0x20, 0}, true, ErrTooLong},
		{"incomplete, within the limit", []byte{'Q', 0, 2, 0, 0}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Splitter{Pool: buffer.NewPool(1), Startup: c.startup}
			if err := s.Feed(c.stream, nil); !errors.Is(err, c.want) {
				t.Errorf("%v: got error %v, want %v", c.stream, err, c.want)
			}
		})
	}
}

func TestSplitterDiscardsQueriesWhenFull(t *testing.T) {
	pool := buffer.NewPool(1)
	pool.Chain().Write([]byte("x"))
	s := Splitter{Pool: pool, Discard: true}
	var got []Message
	s.Feed(append(QueryMessage(readText), 'X', 0, 0, 0, 4), func(m Message) error { got = append(got, m); return nil })
	if len(got) != 2 || !got[0].Discarded || got[0].Body != nil || got[1].Type != 'X' || got[1].Discarded {
		t.Errorf("got messages %+v", got)
	}
	s.Startup = true
	s.Feed(Startup("worker", "catalog"), func(m Message) error { got = append(got, m); return nil })
	if len(got) != 3 || got[2].Discarded {
		t.Error("a startup packet was discarded")
	}
}

func TestParseQuery(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       Query
	}{
		{"read", readText, Query{ID: "9b1f", Class: "basket", Tenant: "acme", Object: "7f3a", DeadlineMillis: 480}},
		{"write", writeText, Query{ID: "9b1f", Class: "order", Tenant: "acme", Object: "7f3a", DeadlineMillis: 480,
			IdempotencyKey: "5c0f", Retried: true, HasWork: true, WorkMicros: 1500, Write: true}},
		{"comma after the last parameter", strings.Replace(readText, "d=480 ", "d=480, ", 1),
			Query{ID: "9b1f", Class: "basket", Tenant: "acme", Object: "7f3a", DeadlineMillis: 480}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseQuery([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if deadline := c.text[got.DeadlineStart:got.DeadlineEnd]; deadline != "480" {
				t.Errorf("the deadline's offsets select %q", deadline)
			}
			got.DeadlineStart, got.DeadlineEnd = 0, 0
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestParseQueryRejectsMalformedReads(t *testing.T) {
	for _, change := range [][2]string{
		{"SELECT", "select"}, {"'7f3a'", "''"}, {"7f3a", "7f'; DROP"}, {"t=acme", "t=a*/b"}, {"id=9b1f,", ""}, {"c=basket,", ""}, {"d=480", "d=x"},
		{"d=480", "d=-1"}, {"d=480", "d="}, {",d=480", ""}, {" */", " */;"}, {" */", ""}, {"t=acme", "t"}, {"t=acme", "t=a b"},
		{"d=480", "d=99999999999"}, {"d=480", "d=+480"}, {"d=480", "d=4_80"}, {"d=480", "d=0x1e0"}, {"d=480", "d=480,h=+5"},
		{"id=9b1f", "id=9b1f,id=9b20"}, {"id=9b1f", "id=9b1f,id=9b1f"}, {"c=basket", "c=basket,c=order"}, {"t=acme", "t=acme,t=other"},
		{"d=480", "d=480,d=4800"}, {"d=480", "d=480,k=1,k=2"}, {"d=480", "d=480,h=1,h=2"}, {"d=480", "d=480,r=1,r=0"}, {"d=480", "d=480,n=1,n=2"},
		{"d=480", "d=480" + manyParameters(maxParameters-3)},
	} {
		if _, err := ParseQuery([]byte(strings.Replace(readText, change[0], change[1], 1))); !errors.Is(err, ErrMalformed) {
			t.Errorf("with %q in place of %q: got error %v", change[1], change[0], err)
		}
	}
}

// manyParameters returns a number of parameters with unknown names, each behind a comma.
func manyParameters(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, ",n%d=1", i)
	}
	return b.String()
}

func TestParseQueryAcceptsUnknownParameters(t *testing.T) {
	text := strings.Replace(readText, "d=480", "d=480"+manyParameters(maxParameters-4), 1)
	if query, err := ParseQuery([]byte(text)); err != nil || query.ID != "9b1f" {
		t.Errorf("got %+v, error %v", query, err)
	}
}

func TestParseQueryChecksTheValue(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        error
	}{
		{"half a byte", "9f0", ErrMalformed},
		{"not hexadecimal", "9g", ErrMalformed},
		{"too long", strings.Repeat("00", MaxValue+1), ErrTooLong},
		{"longest allowed", strings.Repeat("ab", MaxValue), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(writeText, "9f03", c.value, 1)
			if _, err := ParseQuery([]byte(text)); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			if c.want == nil && len(text)+headerLength+1 > MaxMessage {
				t.Errorf("MaxMessage is %d bytes, but the message has %d", MaxMessage, len(text)+headerLength+1)
			}
		})
	}
}

func FuzzParseQuery(f *testing.F) {
	f.Add([]byte(readText))
	f.Add([]byte(writeText))
	f.Fuzz(func(t *testing.T, text []byte) {
		query, err := ParseQuery(text)
		if err == nil && (query.DeadlineStart <= 0 || query.DeadlineEnd > len(text) || query.DeadlineEnd <= query.DeadlineStart) {
			t.Errorf("%q: %+v", text, query)
		}
	})
}

func TestStatement(t *testing.T) {
	if s, err := Statement([]byte("a\x00")); err != nil || string(s) != "a" || !IsEmpty([]byte(" ;\n")) || IsEmpty(s) {
		t.Error("statement and error:", s, err)
	}
	for _, bad := range []string{"", "a", "a\x00b\x00", "a\x00b"} {
		if _, err := Statement([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestStartup(t *testing.T) {
	for body, want := range map[string]StartupKind{
		"\x00\x03\x00\x00user\x00a\x00\x00": StartupSession, "\x00\x03\x00\x02\x00": StartupSession,
		"\x04\xd2\x16\x2f": StartupEncryption, "\x04\xd2\x16\x30": StartupEncryption, "\x04\xd2\x16\x2e12345678": StartupCancel,
	} {
		if got, err := ParseStartup([]byte(body)); got != want || err != nil {
			t.Errorf("%q: %v %v", body, got, err)
		}
	}
	for _, bad := range []string{"", "\x00\x03", "\x00\x02\x00\x00\x00", "\x00\x04\x00\x00\x00", "\x00\x03\x00\x00user",
		"\x00\x03\x00\x00", "\x00\x03\x00\x00user\x00", "\x00\x03\x00\x00user\x00a\x00", "\x00\x03\x00\x00user\x00a\x00\x00more\x00",
	} {
		if _, err := ParseStartup([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestErrorResponse(t *testing.T) {
	b := ErrorResponse(Error, CodeTooManyConnections, "no room", RetryAfterDetail(250))
	severity, code, text, err := ParseError(b[headerLength:])
	if severity != Error || code != CodeTooManyConnections || text != "no room" || err != nil || !bytes.Contains(b, []byte("D250\x00")) {
		t.Errorf("got severity %q, code %q, text %q, error %v", severity, code, text, err)
	}
	for n := headerLength; n < len(b); n++ {
		if _, _, _, err := ParseError(b[headerLength:n]); err == nil {
			t.Errorf("accepted when truncated at %d", n)
		}
	}
}

func TestRowsAndStatus(t *testing.T) {
	row := []byte{0, 1, 0, 0, 0, 2, 'o', 'k'}
	if v, err := ParseRow(row); string(v) != "ok" || err != nil {
		t.Errorf("row value %q, error %v", v, err)
	}
	for n := range row {
		if _, err := ParseRow(row[:n]); err == nil {
			t.Errorf("row accepted when truncated at %d", n)
		}
	}
	null := []byte{0, 1, 255, 255, 255, 255}
	if _, err := ParseRow(null); err == nil {
		t.Error("a row with a null value was accepted")
	}
	column := append([]byte("\x00\x01body\x00"), make([]byte, 18)...)
	if err := CheckRowDescription(column); err != nil {
		t.Error("a valid RowDescription was rejected:", err)
	}
	if CheckRowDescription(column[:len(column)-1]) == nil || CheckRowDescription([]byte{0, 2}) == nil {
		t.Error("an invalid RowDescription was accepted")
	}
	if n, v, err := ParseStatus([]byte("vitals\x00a=1\x00")); n != "vitals" || v != "a=1" || err != nil {
		t.Error("name, value and error of a ParameterStatus:", n, v, err)
	}
	if _, _, err := ParseStatus([]byte("vitals\x00a=1")); err == nil {
		t.Error("a truncated ParameterStatus was accepted")
	}
	fields := []string{"recent_ms", "outstanding"}
	if got := ParseLoadReport("outstanding=7, recent_ms=0.5,more=1", fields); len(got) != 2 || got[0] != 0.5 || got[1] != 7 {
		t.Error("load report:", got)
	}
	if ParseLoadReport("outstanding=7", fields) != nil || ParseLoadReport("outstanding=7,recent_ms=x", fields) != nil {
		t.Error("a load report with a missing or malformed value was accepted")
	}
	for _, invalid := range []string{"NaN", "Inf", "-1", "1e300", "\xff\x00"} {
		if got := ParseLoadReport("outstanding=7,recent_ms="+invalid, fields); got != nil {
			t.Errorf("%q was parsed as %v", invalid, got)
		}
	}
}
