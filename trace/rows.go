package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"unicode/utf8"
)

// Limits of the input.
const (
	MaxLineBytes = 16 << 10 // the longest line of a public trace has a tenth of that
	maxFields    = 64       // approximate limit for the fields of a line; the widest layout has 14
	bufferSize   = 256 << 10
)

var (
	gzipMagic     = []byte{0x1f, 0x8b}
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// rowReader splits a stream into rows and rows into fields. Fields are valid until the next row is read.
type rowReader struct {
	in           *bufio.Reader
	line         int64    // number of the current row's line
	fields       [][]byte // of the current row
	unquoted     []byte   // text of the current row's quoted fields
	unterminated bool     // the stream ends within the current row's line
	started      bool     // at least one line was read
	failed       bool     // reading the stream failed
}

// newRowReader returns a reader for a stream, which may be compressed with gzip. Its first line has the number linesBefore + 1.
func newRowReader(stream io.Reader, linesBefore int64) (*rowReader, error) {
	in := bufio.NewReaderSize(stream, bufferSize)
	// If Peek fails, the stream is not gzip. If it can't be read at all, reading the first line fails too.
	if head, _ := in.Peek(len(gzipMagic)); bytes.Equal(head, gzipMagic) {
		decompressed, err := gzip.NewReader(in)
		if err != nil {
			return nil, err
		}
		in = bufio.NewReaderSize(decompressed, bufferSize)
	}
	return &rowReader{in: in, line: linesBefore}, nil
}

// next returns the fields of the next row, or the reason why it can't be split into fields. It returns false at the end of
// the stream. Empty lines are skipped. If reading fails, for example because gzip data is damaged, the last row is Truncated.
func (r *rowReader) next() (fields [][]byte, reason Reason, more bool) {
	for !r.failed {
		text, state := r.readLine()
		switch state {
		case noLine:
			return nil, Accepted, false
		case lineReadError:
			r.failed = true
			return nil, Truncated, true
		case lineTooLong:
			return nil, LongLine, true
		}
		if !r.started {
			r.started = true
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

// lineState is the result of reading a line.
type lineState int

const (
	lineComplete     lineState = iota
	lineUnterminated           // the stream ends within the line
	lineTooLong                // longer than MaxLineBytes; the whole line was skipped
	lineReadError              // reading the stream failed within the line
	noLine                     // end of the stream
)

// readLine reads a line, including its line end. The error of a stream is dropped, as the audit only counts rows by reason.
func (r *rowReader) readLine() ([]byte, lineState) {
	text, err := r.in.ReadSlice('\n')
	if len(text) == 0 && errors.Is(err, io.EOF) {
		return nil, noLine
	}
	r.line++
	const lineEnd = len("\r\n")
	tooLong := errors.Is(err, bufio.ErrBufferFull) || len(text) > MaxLineBytes+lineEnd
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.in.ReadSlice('\n')
	}
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, lineReadError
	case tooLong:
		return nil, lineTooLong
	case err != nil:
		return text, lineUnterminated
	}
	return text, lineComplete
}

// split splits a line at its commas. A field may be quoted; a quote within a quoted field is doubled.
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

// splitPlain splits a line without quotes.
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

// splitQuoted splits a line with quotes. It returns false if a field that is not quoted as a whole contains a quote.
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

// unquote removes a quoted field from the start of a text. It returns false if the closing quote is missing: a field can't
// continue on the next line, since no public layout has a line end within a field.
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
