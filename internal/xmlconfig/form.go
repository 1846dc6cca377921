// Package xmlconfig reads small XML files of settings: elements and attributes against a table of forms, with every fault
// named by line, all at once. What the elements mean is their owners' matter.
package xmlconfig

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Bounds of a file: a plan for hundreds of relays takes a tenth of them.
const (
	MaxBytes        = 1 << 20
	MaxElements     = 20000
	maxDepth        = 8
	maxListedFaults = 100 // that are listed; the rest is counted
)

// Fault is one thing that is wrong, and where.
type Fault struct {
	Line    int
	Element string
	Text    string
}

func (f Fault) String() string {
	if f.Element == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("%d: <%s>: %s", f.Line, f.Element, f.Text)
}

// Faults are all that is wrong with a file, by line.
type Error struct {
	File   string
	Faults []Fault
}

// Error is every fault on a line of its own.
func (f *Error) Error() string { return strings.Join(f.Lines(), "\n") }

// Lines gives a line for each fault.
func (f *Error) Lines() (out []string) {
	for i, x := range f.Faults {
		if i == maxListedFaults {
			return append(out, fmt.Sprintf("%s: and %d more faults", f.File, len(f.Faults)-i))
		}
		out = append(out, f.File+":"+x.String())
	}
	return out
}

// Node is an element as it stands in the file.
type Node struct {
	Name     string
	Line     int
	Attrs    map[string]string
	Children []*Node
}

// Form says what an element may hold.
type ElementSchema struct {
	Required []string // attributes
	Optional []string
	Children []string
}

// Reader reads one file and gathers its faults.
type Reader struct {
	Root   string
	Schema map[string]ElementSchema
	Faults []Fault
}

// Load reads a file, no more of it than may be.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxBytes+1))
}

// Err is all that was found in a file, by line; nil where it was nothing.
func (r *Reader) Err(file string) error {
	if len(r.Faults) == 0 {
		return nil
	}
	sort.SliceStable(r.Faults, func(i, j int) bool { return r.Faults[i].Line < r.Faults[j].Line })
	return &Error{file, r.Faults}
}

// Read reads the elements of a file.
func (r *Reader) Parse(raw []byte) *Node {
	if len(raw) > MaxBytes {
		r.Faults = append(r.Faults, Fault{1, "", fmt.Sprintf("over %d bytes", MaxBytes)})
		return nil
	}
	return r.tree(raw)
}

// Fault notes what is wrong with an element.
func (r *Reader) AddFault(n *Node, format string, a ...any) {
	r.Faults = append(r.Faults, Fault{n.Line, n.Name, fmt.Sprintf(format, a...)})
}

// tree reads the elements. What can't be read at all ends the reading; what is unknown is named and left out.
func (r *Reader) tree(raw []byte) *Node {
	d := xml.NewDecoder(bytes.NewReader(raw))
	var root *Node
	var path []*Node
	elements := 0
	end := func(text string) *Node {
		line, _ := d.InputPos()
		r.Faults = append(r.Faults, Fault{line, "", text})
		return nil
	}
	for {
		tok, err := d.Token()
		line, _ := d.InputPos()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			var bad *xml.SyntaxError
			if errors.As(err, &bad) {
				return end("no XML: " + bad.Msg)
			}
			return end("no XML: " + err.Error())
		}
		switch t := tok.(type) {
		case xml.Directive: // a DOCTYPE could bring entities that expand
			return end("no DOCTYPE or other declarations are taken")
		case xml.StartElement:
			if elements++; elements > MaxElements || len(path) >= maxDepth {
				return end(fmt.Sprintf("over %d elements, or %d deep", MaxElements, maxDepth))
			}
			n := &Node{Name: t.Name.Local, Line: line, Attrs: map[string]string{}}
			for _, a := range t.Attr {
				switch {
				case a.Name.Space == "xmlns" || a.Name.Local == "xmlns" ||
					a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance":
				case n.Attrs[a.Name.Local] != "":
					r.AddFault(n, "attribute %s stands twice", a.Name.Local)
				default:
					n.Attrs[a.Name.Local] = a.Value
				}
			}
			switch {
			case len(path) > 0:
				up := path[len(path)-1]
				up.Children = append(up.Children, n)
			case root != nil:
				return end("more than one root")
			default:
				root = n
			}
			path = append(path, n)
		case xml.EndElement:
			path = path[:len(path)-1]
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" && len(path) > 0 {
				r.Faults = append(r.Faults, Fault{line, path[len(path)-1].Name, fmt.Sprintf("text %.20q is not expected", s)})
			}
		}
	}
	if root == nil {
		return end("empty")
	}
	if root.Name != r.Root {
		r.AddFault(root, "the root must be <%s>", r.Root)
		return nil
	}
	r.shape(root)
	return root
}

// shape holds an element against its form, and those in it.
func (r *Reader) shape(n *Node) {
	f := r.Schema[n.Name]
	for _, a := range f.Required {
		if _, ok := n.Attrs[a]; !ok {
			r.AddFault(n, "attribute %s is missing", a)
		}
	}
	var names []string
	for a := range n.Attrs {
		names = append(names, a)
	}
	sort.Strings(names)
	for _, a := range names {
		if !slices.Contains(f.Required, a) && !slices.Contains(f.Optional, a) {
			r.AddFault(n, "attribute %s is not known", a)
		}
	}
	kept := n.Children[:0]
	for _, k := range n.Children {
		if !slices.Contains(f.Children, k.Name) {
			r.AddFault(k, "not known in <%s>", n.Name)
			continue
		}
		r.shape(k)
		kept = append(kept, k)
	}
	n.Children = kept
}

// All lists the elements of a name in this one.
func (n *Node) ChildrenNamed(name string) (out []*Node) {
	for _, k := range n.Children {
		if k.Name == name {
			out = append(out, k)
		}
	}
	return out
}

// Number reads an attribute as a number between bounds; absent, it is what usual says.
func (r *Reader) Number(n *Node, name string, usual, least, most float64) float64 {
	s, ok := n.Attrs[name]
	if !ok {
		return usual
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= least && v <= most) || strings.ContainsAny(s, "xXpPnN_") {
		r.AddFault(n, "%s: %.20q is no number from %g to %g", name, s, least, most)
		return usual
	}
	return v
}

// Span reads an attribute as a span such as 90s, 5m or 1h30m.
func (r *Reader) Seconds(n *Node, name string, usual float64) float64 {
	s, ok := n.Attrs[name]
	if !ok {
		return usual
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > 31*24*time.Hour || strings.ContainsAny(s, "+-nµu") {
		r.AddFault(n, "%s: %.20q is no span of up to 31 days, such as 90s, 5m or 1h30m", name, s)
		return usual
	}
	return d.Seconds()
}

// Name reads the name of an element, which must be one and not be taken.
func (r *Reader) UniqueName(n *Node, taken map[string]bool) string {
	s := n.Attrs["name"]
	ok := s != "" && len(s) <= 64
	for _, c := range s {
		ok = ok && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c))
	}
	if _, there := n.Attrs["name"]; there && !ok {
		r.AddFault(n, "Name: %.20q is no name (letters, digits, '.', '_' and '-', 64 at most)", s)
	} else if taken[s] {
		r.AddFault(n, "Name: %q stands twice", s)
	}
	taken[s] = true
	return s
}

// Word reads an attribute that is one of some words.
func Enum[T ~int](r *Reader, n *Node, name string, usual T, words map[string]T) T {
	s, ok := n.Attrs[name]
	if !ok {
		return usual
	}
	v, known := words[s]
	if !known {
		var list []string
		for w := range words {
			list = append(list, w)
		}
		sort.Strings(list)
		r.AddFault(n, "%s: %.20q is none of %s", name, s, strings.Join(list, ", "))
	}
	return v
}

// Address reads an address with a port.
func (r *Reader) CheckAddress(n *Node, name string) bool {
	s := n.Attrs[name]
	i := strings.LastIndexByte(s, ':')
	if port, err := strconv.ParseUint(s[i+1:], 10, 16); i <= 0 || err != nil || port > 65535 {
		r.AddFault(n, "%s: %.40q is no address with a port", name, s)
		return false
	}
	return true
}
