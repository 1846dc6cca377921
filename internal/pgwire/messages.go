package pgwire

import (
	"encoding/binary"
	"strconv"
)

// Message types, named as in PostgreSQL's documentation.
const (
	TypeStartup byte = 0 // startup packet, which has no type byte on the wire

	// Sent by clients.
	TypeQuery     byte = 'Q'
	TypeTerminate byte = 'X'

	// Sent by servers.
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

// BackendTypes lists the types of the messages that endpoints send.
const BackendTypes = "RKNSTDCEIZ"

// Severities of an ErrorResponse.
const (
	Error = "ERROR" // the session continues
	Fatal = "FATAL" // the session ends
)

// SQLSTATE codes of an ErrorResponse.
const (
	CodeTooManyConnections = "53300" // too_many_connections: the query did not run, so a retry is safe
	CodeShuttingDown       = "57P03" // cannot_connect_now: the query did not run, so a retry is safe
	CodeSystemError        = "58000" // system_error: the query may have run
	CodeProtocol           = "08P01" // protocol_violation
	CodeSyntax             = "42601" // syntax_error
	CodeTooLong            = "54000" // program_limit_exceeded
	CodeUnsupported        = "0A000" // feature_not_supported
	CodeDuplicateID        = "23505" // unique_violation: another request with the same id may have run
)

// Field types of an ErrorResponse.
const (
	fieldSeverity             = 'S'
	fieldSeverityUntranslated = 'V'
	fieldCode                 = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
)

const transactionIdle = 'I' // transaction status in ReadyForQuery: not in a transaction block

// beginMessage appends a message type and a placeholder for the length, and returns the offset of the length field.
func beginMessage(b []byte, messageType byte) (message []byte, lengthAt int) {
	return append(b, messageType, 0, 0, 0, 0), len(b) + typeLength
}

// endMessage writes the length of the last message in b, whose length field is at lengthAt.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendString appends a string with its terminating zero byte.
func appendString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendHeader appends the type and length fields of a message. The caller appends the body of bodyLength bytes.
func AppendHeader(b []byte, messageType byte, bodyLength int) []byte {
	return binary.BigEndian.AppendUint32(append(b, messageType), uint32(bodyLength+lengthLength))
}

// AppendReadyForQuery appends a ReadyForQuery message whose transaction status is idle.
func AppendReadyForQuery(b []byte) []byte {
	return append(AppendHeader(b, TypeReadyForQuery, 1), transactionIdle)
}

// EmptyQueryResponse returns the response to an empty query: EmptyQueryResponse and ReadyForQuery.
func EmptyQueryResponse() []byte {
	return AppendReadyForQuery(AppendHeader(nil, TypeEmptyQueryResponse, 0))
}

// QueryMessage returns the Query message of a simple query.
func QueryMessage(text string) []byte {
	b, lengthAt := beginMessage(nil, TypeQuery)
	return endMessage(appendString(b, text), lengthAt)
}

// ErrorResponse returns an ErrorResponse message. If detail is empty, the message has no detail field.
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

// RetryAfterDetail returns the detail field that tells a client after how many milliseconds to retry.
func RetryAfterDetail(millis int64) string { return strconv.FormatInt(millis, 10) }
