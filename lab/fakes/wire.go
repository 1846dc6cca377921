package fakes

import (
	"encoding/binary"
	"errors"
	"io"
)

const (
	maxMessageBytes    = 1 << 20
	startupHeaderBytes = 4 // a startup has a length alone, every other message a type before it
	headerBytes        = 5
	lengthBytes        = 4 // of the length, which counts itself
)

// ErrMessageLength says that a message's length is below or above what a message may have.
var ErrMessageLength = errors.New("a message of no length that is taken")

// ReadMessage reads one message of PostgreSQL's protocol. A startup has no type; its kind means nothing.
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

// Row is a response of one row with one binary column. pgwire.AppendReadyForQuery adds the ReadyForQuery that ends it.
func Row(value string) []byte {
	const (
		binaryFormat   = 1
		byteaType      = 17
		dataRowBytes   = 10 // of a DataRow of one column, besides its value: length, number of columns, length of the value
		completeLength = 13 // of CommandComplete with the tag below
	)
	b := []byte{'T', 0, 0, 0, 0, 0, 1} // RowDescription of one column; its length is written below
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
