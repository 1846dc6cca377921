package xmlconfig

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// ElementSchema lists the attributes and children that an element may have.
type ElementSchema struct {
	Required []string // names of required attributes
	Optional []string // names of optional attributes
	Children []string // names of child elements
}

// Reader reads one file and collects its faults.
type Reader struct {
	Root   string                   // name of the root element
	Schema map[string]ElementSchema // by element name
	Faults []Fault                  // in the order in which they were found
}

// AddFault records a fault of an element.
func (r *Reader) AddFault(node *Node, format string, args ...any) {
	r.Faults = append(r.Faults, Fault{node.Line, node.Name, fmt.Sprintf(format, args...)})
}

// Err returns the faults found so far as an *Error sorted by line, or nil if there are none.
func (r *Reader) Err(file string) error {
	if len(r.Faults) == 0 {
		return nil
	}
	sort.SliceStable(r.Faults, func(i, j int) bool { return r.Faults[i].Line < r.Faults[j].Line })
	return &Error{file, r.Faults}
}

// Parse parses the content of a file and validates its elements against the schema. Attributes and elements that are not in
// the schema are faults, and such elements are left out of the tree. Parse returns nil if the file is too large, is not
// well-formed or has another root element.
func (r *Reader) Parse(raw []byte) *Node {
	if len(raw) > MaxBytes {
		r.Faults = append(r.Faults, Fault{1, "", fmt.Sprintf("the file is over %d bytes", MaxBytes)})
		return nil
	}
	tree := treeBuilder{decoder: xml.NewDecoder(bytes.NewReader(raw)), reader: r}
	if err := tree.build(); err != nil {
		line, _ := tree.decoder.InputPos()
		r.Faults = append(r.Faults, Fault{line, "", err.Error()})
		return nil
	}
	if tree.root.Name != r.Root {
		r.AddFault(tree.root, "the root must be <%s>", r.Root)
		return nil
	}
	r.validate(tree.root)
	return tree.root
}

// validate checks an element and its descendants against the schema, and removes the elements that are not in it.
func (r *Reader) validate(node *Node) {
	schema := r.Schema[node.Name]
	for _, name := range schema.Required {
		if _, ok := node.Attrs[name]; !ok {
			r.AddFault(node, "attribute %s is missing", name)
		}
	}
	var names []string
	for name := range node.Attrs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if !slices.Contains(schema.Required, name) && !slices.Contains(schema.Optional, name) {
			r.AddFault(node, "attribute %s is not known", name)
		}
	}
	known := node.Children[:0]
	for _, child := range node.Children {
		if !slices.Contains(schema.Children, child.Name) {
			r.AddFault(child, "not known in <%s>", node.Name)
			continue
		}
		r.validate(child)
		known = append(known, child)
	}
	node.Children = known
}

// Faults after which parsing stops.
var (
	// A DOCTYPE could define entities whose expansion is unbounded.
	errDeclaration = errors.New("no DOCTYPE or other declarations are taken")
	errSecondRoot  = errors.New("more than one root element")
	errEmpty       = errors.New("empty: no root element")
	errTooLarge    = fmt.Errorf("over %d elements, or nested over %d deep", MaxElements, maxDepth)
)

// treeBuilder builds the tree of a file's elements.
type treeBuilder struct {
	decoder  *xml.Decoder
	reader   *Reader // records faults after which parsing continues
	root     *Node
	open     []*Node // elements that are open, from the root down
	elements int
}

// build parses the whole file. Its error is the fault that stopped parsing, at the decoder's position.
func (t *treeBuilder) build() error {
	for {
		token, err := t.decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return syntaxError(err)
		}
		if err := t.add(token); err != nil {
			return err
		}
	}
	if t.root == nil {
		return errEmpty
	}
	return nil
}

// syntaxError removes the line number from a decoder's syntax error, as the fault has its own.
func syntaxError(err error) error {
	var syntax *xml.SyntaxError
	if errors.As(err, &syntax) {
		return errors.New("no XML: " + syntax.Msg)
	}
	return fmt.Errorf("no XML: %w", err)
}

func (t *treeBuilder) add(token xml.Token) error {
	switch token := token.(type) {
	case xml.Directive:
		return errDeclaration
	case xml.StartElement:
		return t.startElement(token)
	case xml.EndElement:
		t.open = t.open[:len(t.open)-1]
	case xml.CharData:
		t.text(token)
	}
	return nil
}

func (t *treeBuilder) startElement(start xml.StartElement) error {
	t.elements++
	if t.elements > MaxElements || len(t.open) >= maxDepth {
		return errTooLarge
	}
	line, _ := t.decoder.InputPos()
	node := &Node{Name: start.Name.Local, Line: line, Attrs: map[string]string{}}
	t.attributes(node, start.Attr)
	switch {
	case len(t.open) > 0:
		parent := t.open[len(t.open)-1]
		parent.Children = append(parent.Children, node)
	case t.root != nil:
		return errSecondRoot
	default:
		t.root = node
	}
	t.open = append(t.open, node)
	return nil
}

// attributes stores an element's attributes, except for namespace declarations and the location of a schema.
func (t *treeBuilder) attributes(node *Node, attrs []xml.Attr) {
	for _, attr := range attrs {
		name := attr.Name.Local
		switch {
		case isNamespace(attr.Name):
		case node.Attrs[name] != "":
			t.reader.AddFault(node, "attribute %s is given twice", name)
		default:
			node.Attrs[name] = attr.Value
		}
	}
}

const schemaInstance = "http://www.w3.org/2001/XMLSchema-instance"

func isNamespace(name xml.Name) bool {
	return name.Space == "xmlns" || name.Local == "xmlns" || name.Space == schemaInstance
}

// text reports text in an element as a fault, as no file uses any. Text outside the root element is ignored.
func (t *treeBuilder) text(data xml.CharData) {
	text := strings.TrimSpace(string(data))
	if text == "" || len(t.open) == 0 {
		return
	}
	line, _ := t.decoder.InputPos()
	parent := t.open[len(t.open)-1]
	t.reader.Faults = append(t.reader.Faults, Fault{line, parent.Name, fmt.Sprintf("text %.20q is not expected", text)})
}
