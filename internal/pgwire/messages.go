package pgwire

import (
	"encoding/binary"
	"strconv"
)

// Types of messages, as PostgreSQL's documentation names them.
const (
	TypeStartup byte = 0 // a startup packet, which has no type byte

	// From clients.
	TypeQuery     byte = 'Q'
	TypeTerminate byte = 'X'

	// From servers.
	TypeAuthentication     byte = 'R'
	TypeBackendKeyData     byte = 'K'
	TypeNoticeResponse     byte = 'N'
	TypeParameterStatus    byte = 'S'
	TypeRowDescription     byte = 'T'
	TypeDataRow            byte = 'D'
	TypeCommandComplete    byte = 'C'
	TypeErrorResponse      byte = 'E'
	TypeReadyForQuery      byte = 'Z'
	TypeEmptyQueryResponse byte = 'I'
)

// BackendTypes are the types of the messages that endpoints send.
const BackendTypes = "RKNSTDCEZ"

// Severities of ErrorResponses.
const (
	Error = "ERROR" // the session goes on
	Fatal = "FATAL" // it does not
)

// Codes of ErrorResponses, from PostgreSQL's list.
const (
	CodeTooManyConnections = "53300" // too_many_connections: nothing was done, a retry is harmless
	CodeShuttingDown       = "57P03" // cannot_connect_now: the same
	CodeSystemError        = "58000" // system_error: no promise about what was done
	CodeProtocol           = "08P01" // protocol_violation
	CodeSyntax             = "42601" // syntax_error
	CodeTooLong            = "54000" // program_limit_exceeded
	CodeUnsupported        = "0A000" // feature_not_supported
)

// Types of the fields of an ErrorResponse.
const (
	fieldSeverity             = 'S'
	fieldSeverityUntranslated = 'V'
	fieldCode                 = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
)

const transactionIdle = 'I' // of ReadyForQuery: not in a transaction block

// beginMessage appends the type of a message and space for its length, and gives the offset of the length.
func beginMessage(b []byte, messageType byte) (message []byte, lengthAt int) {
	return append(b, messageType, 0, 0, 0, 0), len(b) + typeLength
}

// endMessage fills in the length of the message that b ends with.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendString appends a string and the zero byte that ends it.
func appendString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendHeader appends the type and the length of a message whose body of bodyLength bytes follows.
func AppendHeader(b []byte, messageType byte, bodyLength int) []byte {
	return binary.BigEndian.AppendUint32(append(b, messageType), uint32(bodyLength+lengthLength))
}

// AppendReadyForQuery appends a ReadyForQuery message.
func AppendReadyForQuery(b []byte) []byte {
	return append(AppendHeader(b, TypeReadyForQuery, 1), transactionIdle)
}

// EmptyQueryResponse builds the response to an empty query, with ReadyForQuery behind it.
func EmptyQueryResponse() []byte {
	return AppendReadyForQuery(AppendHeader(nil, TypeEmptyQueryResponse, 0))
}

// QueryMessage builds the Query message of a simple query.
func QueryMessage(text string) []byte {
	b, lengthAt := beginMessage(nil, TypeQuery)
	return endMessage(appendString(b, text), lengthAt)
}

// ErrorResponse builds an ErrorResponse message; detail may be empty.
func ErrorResponse(severity, code, text, detail string) []byte {
	b, lengthAt := beginMessage(nil, TypeErrorResponse)
	b = appendString(append(b, fieldSeverity), severity)
	b = appendString(append(b, fieldSeverityUntranslated), severity)
	b = appendString(append(b, fieldCode), code)
	b = appendString(append(b, fieldMessage), text)
	if detail != "" {
		b = appendString(append(b, fieldDetail), detail)
	}
	return endMessage(append(b, 0), lengthAt)
}

// RetryAfterDetail is the detail field that names a time to come back, in milliseconds.
func RetryAfterDetail(millis int64) string { return strconv.FormatInt(millis, 10) }
