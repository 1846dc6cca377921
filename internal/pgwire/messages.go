package pgwire

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
