package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"unicode/utf8"
)

// Bounds of the text.
const (
	MaxLineBytes = 16 << 10 // bytes of a line: the longest of a public layout takes a tenth
	maxFields    = 64       // columns: the widest layout has fourteen
	bufferSize   = 256 << 10
)

var bom = []byte("\xef\xbb\xbf")

// rows cuts a stream into lines and lines into fields, without keeping any. Fields are good until the next row.
type rowReader struct {
	in     *bufio.Reader
	line   int64
	fields [][]byte
	spare  []byte // of fields with quotes
	begun  bool
	cut    bool // the present line has no end: the file stops in it
}

// open looks whether the stream is compressed with gzip.
func open(r io.Reader) (*rowReader, error) {
	in := bufio.NewReaderSize(r, bufferSize)
	if head, _ := in.Peek(2); len(head) == 2 && head[0] == 0x1f && head[1] == 0x8b {
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, err
		}
		in = bufio.NewReaderSize(z, bufferSize)
	}
	return &rowReader{in: in}, nil
}

// next gives the next row, or why there is none on this line. io.EOF is the end; any other error ends the reading too.
// Empty lines are passed over.
func (t *rowReader) next() ([][]byte, Reason, error) {
	for {
		text, err := t.in.ReadSlice('\n')
		if len(text) == 0 && errors.Is(err, io.EOF) {
			return nil, Accepted, io.EOF
		}
		t.line++
		if errors.Is(err, bufio.ErrBufferFull) || len(text) > MaxLineBytes+2 {
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = t.in.ReadSlice('\n')
			}
			if err != nil && !errors.Is(err, io.EOF) {
				return nil, Truncated, err
			}
			return nil, LongLine, nil
		}
		if err != nil && !errors.Is(err, io.EOF) { // the compressed form ends or breaks within the line
			return nil, Truncated, err
		}
		if !t.begun {
			t.begun = true
			text = bytes.TrimPrefix(text, bom)
		}
		whole := err == nil
		t.cut = !whole
		text = bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
		if len(text) == 0 {
			if !whole {
				return nil, Accepted, io.EOF
			}
			continue
		}
		if !utf8.Valid(text) {
			return nil, InvalidUTF8, nil
		}
		fields, why := t.split(text)
		return fields, why, nil
	}
}

// split cuts a line at its commas; a field may stand in quotes, a quote in it twice.
func (t *rowReader) split(text []byte) ([][]byte, Reason) {
	t.fields = t.fields[:0]
	if bytes.IndexByte(text, '"') < 0 {
		for {
			i := bytes.IndexByte(text, ',')
			if i < 0 || len(t.fields) > maxFields {
				t.fields = append(t.fields, text)
				return t.fields, Accepted
			}
			t.fields, text = append(t.fields, text[:i]), text[i+1:]
		}
	}
	t.spare = t.spare[:0]
	for {
		if len(text) == 0 || text[0] != '"' {
			i := bytes.IndexByte(text, ',')
			field := text
			if i >= 0 {
				field = text[:i]
			}
			if bytes.IndexByte(field, '"') >= 0 {
				return nil, StrayQuote
			}
			t.fields = append(t.fields, field)
			if i < 0 || len(t.fields) > maxFields {
				return t.fields, Accepted
			}
			text = text[i+1:]
			continue
		}
		from, i := len(t.spare), 1
		for ; ; i++ {
			if i >= len(text) {
				return nil, StrayQuote // it is never closed; no public layout has a line's end in a field
			}
			if text[i] == '"' {
				if i+1 < len(text) && text[i+1] == '"' {
					i++
				} else {
					break
				}
			}
			t.spare = append(t.spare, text[i])
		}
		t.fields = append(t.fields, t.spare[from:len(t.spare):len(t.spare)])
		if text = text[i+1:]; len(text) == 0 {
			return t.fields, Accepted
		}
		if text[0] != ',' {
			return nil, StrayQuote
		}
		text = text[1:]
	}
}
