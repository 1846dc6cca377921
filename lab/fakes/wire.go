package fakes

import (
	"encoding/binary"
	"errors"
	"io"
)

const (
	maxMessageBytes    = 1 << 20 // of a message's body
	startupHeaderBytes = 4       // a startup message begins with its length, all others with a type byte and their length
	headerBytes        = 5
	lengthBytes        = 4 // size of the length field, which is included in the length
)

// ErrMessageLength is the error of ReadMessage for a length that is too small to include its own field, or for a body
// above maxMessageBytes.
var ErrMessageLength = errors.New("message length out of range")

// ReadMessage reads one message of PostgreSQL's protocol. A startup message has no type byte; the kind that is returned for
// it has no meaning.
func ReadMessage(r io.Reader, startup bool) (kind byte, body []byte, err error) {
	header := make([]byte, headerBytes)
	if startup {
		header = header[:startupHeaderBytes]
	}
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[len(header)-lengthBytes:])) - lengthBytes
	if length < 0 || length > maxMessageBytes {
		return 0, nil, ErrMessageLength
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// Row returns the messages of a response with one row of one binary column: RowDescription, DataRow and CommandComplete.
// The caller adds ReadyForQuery with pgwire.AppendReadyForQuery.
func Row(value string) []byte {
	const (
		binaryFormat   = 1  // format code
		byteaType      = 17 // object ID of the type bytea
		dataRowBytes   = 10 // bytes of a DataRow besides its value: length, number of columns, length of the value
		completeLength = 13 // length of CommandComplete with the tag SELECT 1
	)
	b := []byte{'T', 0, 0, 0, 0, 0, 1} // RowDescription of one column; its length is filled in below
	b = append(append(b, "body"...), 0)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, byteaType, 255, 255, 255, 255, 255, 255, 0, binaryFormat)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	b = append(b, 'D')
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)+dataRowBytes))
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	b = append(b, value...)
	b = append(b, 'C', 0, 0, 0, completeLength)
	return append(append(b, "SELECT 1"...), 0)
}
