package xmlconfig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var testSchema = map[string]ElementSchema{
	"root": {Required: []string{"version"}, Children: []string{"item"}},
	"item": {Required: []string{"name"}, Optional: []string{"size"}, Children: []string{"item"}},
}

func newReader() *Reader { return &Reader{Root: "root", Schema: testSchema} }

// linesOf returns the lines of an *Error, or none if err is nil.
func linesOf(t *testing.T, err error) []string {
	t.Helper()
	if err == nil {
		return nil
	}
	var faults *Error
	if !errors.As(err, &faults) {
		t.Fatalf("not an *Error: %v", err)
	}
	return faults.Lines()
}

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		want []string // lines of the faults
	}{
		{"valid", `<root version="1"><item name="a"/></root>`, nil},
		{"a comment, namespaces and a schema", `<?xml version="1.0"?><!-- x --><root xmlns="urn:x" xmlns:xsi="http://www.w3.org/2001/XMLSchema-instance" xsi:schemaLocation="x" version="1"/>`, nil},
		{"text outside the root", "before<root version=\"1\"/>behind", nil},
		{"empty", " \n", []string{"f:2: empty: no root element"}},
		{"no XML", "<root", []string{"f:1: no XML: unexpected EOF"}},
		{"two roots", `<root version="1"/><root/>`, []string{"f:1: more than one root element"}},
		{"another root", `<tree/>`, []string{"f:1: <tree>: the root must be <root>"}},
		{"a declaration", `<!DOCTYPE root><root/>`, []string{"f:1: no DOCTYPE or other declarations are taken"}},
		{"too deep", strings.Repeat("<item>", maxDepth+1), []string{"f:1: over 20000 elements, or nested over 8 deep"}},
		{"too many", "<root>" + strings.Repeat("<item/>", MaxElements), []string{"f:1: over 20000 elements, or nested over 8 deep"}},
		{"too long", strings.Repeat(" ", MaxBytes+1), []string{"f:1: the file is over 1048576 bytes"}},
		{"several, by line", "<root>\n<item nam='a' sort='b'/>\n<thing/>words</root>", []string{
			"f:1: <root>: attribute version is missing",
			"f:2: <item>: attribute name is missing",
			"f:2: <item>: attribute nam is not known",
			"f:2: <item>: attribute sort is not known",
			`f:3: <root>: text "words" is not expected`,
			"f:3: <thing>: not known in <root>",
		}},
		{"an attribute twice", `<root version="1" version="2"/>`, []string{"f:1: <root>: attribute version is given twice"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReader()
			r.Parse([]byte(c.text))
			if lines := linesOf(t, r.Err("f")); !slices.Equal(lines, c.want) {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// TestUnknownElementsAreLeftOut checks that the tree only has elements of the schema.
func TestUnknownElementsAreLeftOut(t *testing.T) {
	root := newReader().Parse([]byte(`<root version="1"><thing/><item name="a"/><thing/><item name="b"/></root>`))
	if root == nil || len(root.Children) != 2 || len(root.ChildrenNamed("item")) != 2 || root.ChildrenNamed("thing") != nil {
		t.Errorf("got tree %+v", root)
	}
}

func TestManyFaultsAreCounted(t *testing.T) {
	r := newReader()
	r.Parse([]byte(`<root version="1">` + strings.Repeat("<thing/>", maxListedFaults+7) + "</root>"))
	lines := linesOf(t, r.Err("f"))
	if len(lines) != maxListedFaults+1 || lines[maxListedFaults] != "f: and 7 more faults" {
		t.Errorf("got %d lines, the last one %q", len(lines), lines[len(lines)-1])
	}
}

// attribute returns a node whose only attribute is x, with the given value.
func attribute(text string) *Node {
	return &Node{Name: "item", Line: 1, Attrs: map[string]string{"x": text}}
}

func TestNumber(t *testing.T) {
	for _, c := range []struct {
		text  string
		want  float64
		fault bool
	}{
		{"0.5", 0.5, false}, {"0", 0, false}, {"1", 1, false}, {"5e-1", 0.5, false},
		{"", 7, true}, {"1.5", 7, true}, {"-0.1", 7, true}, {"NaN", 7, true}, {"Inf", 7, true}, {"0x1p-2", 7, true},
		{"0_1", 7, true}, {"half", 7, true},
	} {
		t.Run(c.text, func(t *testing.T) {
			r := newReader()
			if got := r.Number(attribute(c.text), "x", 7, 0, 1); got != c.want || (len(r.Faults) > 0) != c.fault {
				t.Errorf("got %g and faults %v, want %g", got, r.Faults, c.want)
			}
		})
	}
	r := newReader()
	if got := r.Number(attribute("1"), "absent", 7, 0, 1); got != 7 || r.Faults != nil {
		t.Errorf("absent attribute: got %g and faults %v", got, r.Faults)
	}
}

func TestSeconds(t *testing.T) {
	for _, c := range []struct {
		text  string
		want  float64
		fault bool
	}{
		{"90s", 90, false}, {"1h30m", 5400, false}, {"250ms", 0.25, false}, {"744h", 744 * 3600, false}, {"0", 0, false},
		{"744h1s", 7, true}, {"-5s", 7, true}, {"+5s", 7, true}, {"5us", 7, true}, {"5µs", 7, true}, {"5ns", 7, true},
		{"5", 7, true}, {"", 7, true}, {"soon", 7, true},
	} {
		t.Run(c.text, func(t *testing.T) {
			r := newReader()
			if got := r.Seconds(attribute(c.text), "x", 7); got != c.want || (len(r.Faults) > 0) != c.fault {
				t.Errorf("got %g and faults %v, want %g", got, r.Faults, c.want)
			}
		})
	}
}

func TestUniqueName(t *testing.T) {
	taken := map[string]bool{"a": true}
	for _, c := range []struct {
		name  string
		fault string // empty: none
	}{
		{"b", ""}, {"B.c_9-x", ""}, {strings.Repeat("n", 64), ""},
		{"a", `Name: "a" stands twice`}, {"b", `Name: "b" stands twice`},
		{"", "is no name"}, {"o ne", "is no name"}, {"ä", "is no name"}, {strings.Repeat("n", 65), "is no name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReader()
			node := &Node{Name: "item", Attrs: map[string]string{"name": c.name}}
			if got := r.UniqueName(node, taken); got != c.name || !taken[c.name] {
				t.Errorf("got %q, taken: %v", got, taken[c.name])
			}
			if text := fmt.Sprint(r.Faults); !strings.Contains(text, c.fault) || (r.Faults != nil) != (c.fault != "") {
				t.Errorf("got faults %s, want %q", text, c.fault)
			}
		})
	}
}

func TestEnum(t *testing.T) {
	words := map[string]int{"one": 1, "two": 2}
	for _, c := range []struct {
		name, attribute, text string
		want                  int
		faults                string
	}{
		{"known", "x", "two", 2, "[]"},
		{"absent", "y", "two", 1, "[]"},
		{"unknown", "x", "three", 0, `[1: <item>: x: "three" is none of one, two]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReader()
			if got := Enum(r, attribute(c.text), c.attribute, 1, words); got != c.want || fmt.Sprint(r.Faults) != c.faults {
				t.Errorf("got %d and faults %v, want %d and %s", got, r.Faults, c.want, c.faults)
			}
		})
	}
}

func TestCheckAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"127.0.0.1:6400": true, "host:0": true, "[::1]:65535": true,
		"": false, "host": false, ":6400": false, "host:": false, "host:65536": false, "host:http": false, "host:-1": false,
	} {
		t.Run(text, func(t *testing.T) {
			r := newReader()
			if got := r.CheckAddress(attribute(text), "x"); got != want || (r.Faults == nil) != want {
				t.Errorf("got %v and faults %v, want %v", got, r.Faults, want)
			}
		})
	}
}

func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.xml")
	if _, err := ReadFile(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got error %v", err)
	}
	if err := os.WriteFile(path, make([]byte, MaxBytes+100), 0o600); err != nil {
		t.Fatal(err)
	}
	raw, err := ReadFile(path)
	if err != nil || len(raw) != MaxBytes+1 {
		t.Errorf("got %d bytes and error %v", len(raw), err)
	}
}
