package pgwire

import (
	"encoding/binary"
	"fmt"
)

// Request codes that a startup packet may hold in place of a protocol version, and the accepted protocol versions.
const (
	cancelRequestCode  = 80877102
	sslRequestCode     = 80877103
	gssEncRequestCode  = 80877104
	protocolVersion3   = 3 << 16
	maxProtocolVersion = protocolVersion3 + 1<<16 - 1 // any minor version of version 3
)

// NoEncryption is the response to a request for encryption: a single byte that declines it.
const NoEncryption = 'N'

// StartupKind is the kind of request in a startup packet.
type StartupKind int

const (
	// StartupSession requests a session.
	StartupSession StartupKind = iota
	// StartupEncryption requests encryption. The client sends another startup packet after the response.
	StartupEncryption
	// StartupCancel requests to cancel a query of another session.
	StartupCancel
)

// ParseStartup parses the body of a startup packet. Errors wrap ErrMalformed.
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
	if err := checkStartupParameters(body[lengthLength:]); err != nil {
		return 0, err
	}
	return StartupSession, nil
}

// checkStartupParameters checks that the rest of a startup packet consists of names with values and a zero byte behind them.
// Errors wrap ErrMalformed.
func checkStartupParameters(parameters []byte) error {
	for {
		name, rest, ok := cutString(parameters)
		if !ok {
			return malformed("startup without its end")
		}
		if name == "" {
			if len(rest) > 0 {
				return malformed("startup with input behind its end")
			}
			return nil
		}
		if _, parameters, ok = cutString(rest); !ok {
			return malformed("startup parameter without a value")
		}
	}
}

// Startup returns the startup packet that opens a session.
func Startup(user, database string) []byte {
	b := make([]byte, lengthLength)
	b = binary.BigEndian.AppendUint32(b, protocolVersion3)
	for _, s := range [...]string{"user", user, "database", database} {
		b = appendString(b, s)
	}
	return endMessage(append(b, 0), 0)
}

// serverParameters are the parameters that client libraries expect to be reported when a session opens.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// StartupResponse returns the response to a startup packet that opens a session, up to and including ReadyForQuery. session
// is the process ID in its BackendKeyData message.
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
