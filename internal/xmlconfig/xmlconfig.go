// Package xmlconfig reads small XML files of configuration: a tree of elements, held against a schema, and typed
// attributes. All faults of a file are gathered and reported by line in one *Error. What the elements mean is the matter of
// the packages that read their own files with it (internal/planxml, trace).
//
// A Reader belongs to one goroutine and one file; the package holds no state besides. It imports the standard library alone.
package xmlconfig

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Bounds of a file. A plan for hundreds of relays takes a tenth of them.
const (
	MaxBytes    = 1 << 20
	MaxElements = 20000
	maxDepth    = 8
)

// maxListedFaults bounds the report of a file; the faults past it are only counted.
const maxListedFaults = 100

// Fault is one thing that is wrong with a file.
type Fault struct {
	Line    int
	Element string // empty where the fault is the file's
	Text    string
}

// String gives the fault with its line and element, without the file.
func (f Fault) String() string {
	if f.Element == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("%d: <%s>: %s", f.Line, f.Element, f.Text)
}

// Error is all that is wrong with a file, sorted by line.
type Error struct {
	File   string
	Faults []Fault
}

// Error gives each fault on a line of its own.
func (e *Error) Error() string { return strings.Join(e.Lines(), "\n") }

// Lines gives a line for each fault, and a last one that counts the rest where there are very many.
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

// ReadFile reads a file, but no more than one byte past MaxBytes, which is enough for Reader.Parse to report it.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written that a failed close could lose
	return io.ReadAll(io.LimitReader(file, MaxBytes+1))
}

// Node is an element of a file.
type Node struct {
	Name     string
	Line     int // of the end of its start tag
	Attrs    map[string]string
	Children []*Node
}

// ChildrenNamed lists the node's children of a name, in the file's order.
func (n *Node) ChildrenNamed(name string) []*Node {
	var named []*Node
	for _, child := range n.Children {
		if child.Name == name {
			named = append(named, child)
		}
	}
	return named
}
