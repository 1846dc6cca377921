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
	MaxLineBytes = 16 << 10 // the longest line of a public layout takes a tenth
	maxFields    = 64       // of a line, about; the widest layout has fourteen
	bufferSize   = 256 << 10
)

var (
	gzipMagic     = []byte{0x1f, 0x8b}
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// rowReader cuts a stream into rows and rows into fields. It keeps none of them: fields are good until the next row.
type rowReader struct {
	in           *bufio.Reader
	line         int64    // of the present row
	fields       [][]byte // of the present row
	unquoted     []byte   // space for its fields that stand in quotes
	unterminated bool     // its line has no end: the stream ends in it
	begun        bool     // a line was read
	broken       bool     // the stream can't be read any further
}

// newRowReader returns a reader of a stream, which may be compressed with gzip. It counts lines from linesBefore on.
func newRowReader(stream io.Reader, linesBefore int64) (*rowReader, error) {
	in := bufio.NewReaderSize(stream, bufferSize)
	// A stream that is shorter or can't be read is no gzip; the first read of a line finds out.
	if head, _ := in.Peek(len(gzipMagic)); bytes.Equal(head, gzipMagic) {
		decompressed, err := gzip.NewReader(in)
		if err != nil {
			return nil, err
		}
		in = bufio.NewReaderSize(decompressed, bufferSize)
	}
	return &rowReader{in: in, line: linesBefore}, nil
}

// next gives the fields of the next row, or the reason why it has none. There is no more at the end of the stream. Empty
// lines are passed over. A stream that breaks, such as damaged gzip, ends with a row that is Truncated.
func (r *rowReader) next() (fields [][]byte, reason Reason, more bool) {
	for !r.broken {
		text, state := r.readLine()
		switch state {
		case lineAbsent:
			return nil, Accepted, false
		case lineBroken:
			r.broken = true
			return nil, Truncated, true
		case lineTooLong:
			return nil, LongLine, true
		}
		if !r.begun {
			r.begun = true
			text = bytes.TrimPrefix(text, byteOrderMark)
		}
		r.unterminated = state == lineUnterminated
		text = bytes.TrimSuffix(text, []byte("\n"))
		text = bytes.TrimSuffix(text, []byte("\r"))
		switch {
		case len(text) == 0 && r.unterminated:
			return nil, Accepted, false
		case len(text) == 0:
			continue
		case !utf8.Valid(text):
			return nil, InvalidUTF8, true
		}
		fields, reason = r.split(text)
		return fields, reason, true
	}
	return nil, Accepted, false
}

type lineState int

const (
	lineComplete     lineState = iota
	lineUnterminated           // the stream ends in it
	lineTooLong                // over MaxLineBytes; it was read to its end
	lineBroken                 // the stream breaks in it
	lineAbsent                 // the stream has ended before it
)

// readLine reads a line, with its end. What a stream breaks with is not kept: the audit has no place for it but a count.
func (r *rowReader) readLine() ([]byte, lineState) {
	text, err := r.in.ReadSlice('\n')
	if len(text) == 0 && errors.Is(err, io.EOF) {
		return nil, lineAbsent
	}
	r.line++
	const lineEnd = len("\r\n")
	tooLong := errors.Is(err, bufio.ErrBufferFull) || len(text) > MaxLineBytes+lineEnd
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.in.ReadSlice('\n')
	}
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, lineBroken
	case tooLong:
		return nil, lineTooLong
	case err != nil:
		return text, lineUnterminated
	}
	return text, lineComplete
}

// split cuts a line at its commas. A field may stand in quotes; a quote in it stands twice.
func (r *rowReader) split(text []byte) ([][]byte, Reason) {
	r.fields, r.unquoted = r.fields[:0], r.unquoted[:0]
	if bytes.IndexByte(text, '"') < 0 {
		r.splitPlain(text)
		return r.fields, Accepted
	}
	if !r.splitQuoted(text) {
		return nil, StrayQuote
	}
	return r.fields, Accepted
}

// splitPlain splits a line that has no quotes.
func (r *rowReader) splitPlain(text []byte) {
	for {
		comma := bytes.IndexByte(text, ',')
		if comma < 0 || len(r.fields) > maxFields {
			r.fields = append(r.fields, text)
			return
		}
		r.fields = append(r.fields, text[:comma])
		text = text[comma+1:]
	}
}

// splitQuoted splits a line that has quotes. It fails where one stands in a field without being round it.
func (r *rowReader) splitQuoted(text []byte) bool {
	for {
		if len(text) > 0 && text[0] == '"' {
			field, rest, ok := r.unquote(text)
			if !ok {
				return false
			}
			r.fields = append(r.fields, field)
			if len(rest) == 0 {
				return true
			}
			if rest[0] != ',' {
				return false
			}
			text = rest[1:]
			continue
		}
		field, rest, more := bytes.Cut(text, []byte(","))
		if bytes.IndexByte(field, '"') >= 0 {
			return false
		}
		r.fields = append(r.fields, field)
		if !more || len(r.fields) > maxFields {
			return true
		}
		text = rest
	}
}

// unquote takes a field in quotes off the beginning of a text. It fails where the quotes are not closed: no public layout has
// an end of line in a field.
func (r *rowReader) unquote(text []byte) (field, rest []byte, ok bool) {
	from := len(r.unquoted)
	for i := 1; i < len(text); i++ {
		if text[i] == '"' {
			doubled := i+1 < len(text) && text[i+1] == '"'
			if !doubled {
				return r.unquoted[from:len(r.unquoted):len(r.unquoted)], text[i+1:], true
			}
			i++
		}
		r.unquoted = append(r.unquoted, text[i])
	}
	return nil, nil, false
}
