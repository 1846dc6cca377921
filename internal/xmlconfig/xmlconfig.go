// Package xmlconfig reads small XML configuration files: it builds the tree of elements, validates it against a schema and
// parses typed attributes. All faults of a file are collected and reported by line in one *Error. The packages that use it,
// internal/planxml and trace, define the schemas and interpret the elements.
//
// A Reader is for one file and must be used by one goroutine; the package has no other state. It imports only the standard
// library.
package xmlconfig

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Size limits of a file. A plan for hundreds of relays needs a tenth of them.
const (
	MaxBytes    = 1 << 20
	MaxElements = 20000
	maxDepth    = 8
)

// maxListedFaults is the number of faults that an Error lists. Further faults are only counted.
const maxListedFaults = 100

// Fault is one error in a file.
type Fault struct {
	Line    int
	Element string // empty if the fault concerns the whole file
	Text    string
}

// String formats the fault with its line and element, without the name of the file.
func (f Fault) String() string {
	if f.Element == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("%d: <%s>: %s", f.Line, f.Element, f.Text)
}

// Error holds all faults of a file, sorted by line.
type Error struct {
	File   string
	Faults []Fault
}

// Error returns the lines of Lines, joined by newlines.
func (e *Error) Error() string { return strings.Join(e.Lines(), "\n") }

// Lines returns one line for each fault, up to maxListedFaults, and one with the number of further faults if there are any.
func (e *Error) Lines() []string {
	var lines []string
	for i, fault := range e.Faults {
		if i == maxListedFaults {
			return append(lines, fmt.Sprintf("%s: and %d more faults", e.File, len(e.Faults)-i))
		}
		lines = append(lines, e.File+":"+fault.String())
	}
	return lines
}

// ReadFile reads at most MaxBytes+1 bytes of a file. The additional byte lets Reader.Parse detect a file that is too large.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read, so a failed close loses nothing
	return io.ReadAll(io.LimitReader(file, MaxBytes+1))
}

// Node is an element of a file.
type Node struct {
	Name     string
	Line     int // line on which the start tag ends
	Attrs    map[string]string
	Children []*Node
}

// ChildrenNamed returns the node's children with the given element name, in the order of the file.
func (n *Node) ChildrenNamed(name string) []*Node {
	var named []*Node
	for _, child := range n.Children {
		if child.Name == name {
			named = append(named, child)
		}
	}
	return named
}
