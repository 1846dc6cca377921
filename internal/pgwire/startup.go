package pgwire

import (
	"encoding/binary"
	"fmt"
)

// Codes in place of the protocol's version in startup packets, and the versions taken.
const (
	cancelRequestCode  = 80877102
	sslRequestCode     = 80877103
	gssEncRequestCode  = 80877104
	protocolVersion3   = 3 << 16
	maxProtocolVersion = protocolVersion3 + 1<<16 - 1 // any minor version
)

// NoEncryption is the one byte that answers a request for encryption.
const NoEncryption = 'N'

// StartupKind is what a startup packet asks for.
type StartupKind int

const (
	// StartupSession asks for a session.
	StartupSession StartupKind = iota
	// StartupEncryption asks for encryption; another startup packet follows the answer.
	StartupEncryption
	// StartupCancel asks to cancel a request of another session.
	StartupCancel
)

// ParseStartup reads the body of a startup packet. An error wraps ErrMalformed.
func ParseStartup(body []byte) (StartupKind, error) {
	if len(body) < lengthLength {
		return 0, malformed("short startup")
	}
	switch code := binary.BigEndian.Uint32(body); {
	case code == sslRequestCode || code == gssEncRequestCode:
		return StartupEncryption, nil
	case code == cancelRequestCode:
		return StartupCancel, nil
	case code < protocolVersion3 || code > maxProtocolVersion:
		major, minor := code>>16, code&0xffff
		return 0, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, major, minor)
	}
	if body[len(body)-1] != 0 {
		return 0, malformed("startup without its end")
	}
	return StartupSession, nil
}

// Startup builds the startup packet that opens a session.
func Startup(user, database string) []byte {
	b := make([]byte, lengthLength)
	b = binary.BigEndian.AppendUint32(b, protocolVersion3)
	for _, s := range [...]string{"user", user, "database", database} {
		b = appendString(b, s)
	}
	return endMessage(append(b, 0), 0)
}

// serverParameters are the parameters that a client is told of, which clients' libraries expect.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// StartupResponse builds the response to a startup packet, with ReadyForQuery at its end.
func StartupResponse(session uint32) []byte {
	const authenticationOK, secretKey = 0, 0
	b, lengthAt := beginMessage(nil, TypeAuthentication)
	b = endMessage(binary.BigEndian.AppendUint32(b, authenticationOK), lengthAt)
	for _, parameter := range serverParameters {
		b, lengthAt = beginMessage(b, TypeParameterStatus)
		b = endMessage(appendString(appendString(b, parameter.name), parameter.value), lengthAt)
	}
	b, lengthAt = beginMessage(b, TypeBackendKeyData)
	b = binary.BigEndian.AppendUint32(b, session)
	b = endMessage(binary.BigEndian.AppendUint32(b, secretKey), lengthAt)
	return AppendReadyForQuery(b)
}
