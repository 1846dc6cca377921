package compat_test

import "encoding/binary"

// Datagrams between relays begin with a magic byte and a type.
const (
	messageMagic  = 0x4c
	reportType    = 3
	decisionType  = 4
	heartbeatType = 5
	deltaType     = 6

	maxDatagramBytes = 256
)

// isMessageType reports whether a datagram is of the given type.
func isMessageType(body []byte, messageType byte) bool {
	return len(body) >= 2 && body[0] == messageMagic && body[1] == messageType
}

// reportDatagram encodes a peer's report on a build at a stage: a flag and a number of attempts for each class, and the outcome
// of one attempt for each endpoint hash.
func reportDatagram(build, stage uint64, flagged bool, attempts uint64, endpointHashes [][3]byte) []byte {
	b := binary.AppendUvarint([]byte{messageMagic, reportType}, build)
	b = binary.AppendUvarint(b, stage)
	b = binary.AppendUvarint(b, classCount)
	for range classCount {
		flag := uint64(0)
		if flagged {
			flag = 1
		}
		b = binary.AppendUvarint(b, attempts<<1|flag)
	}
	b = binary.AppendUvarint(b, uint64(len(endpointHashes)))
	for i, hash := range endpointHashes {
		b = append(b, hash[:]...)
		b = binary.AppendUvarint(b, uint64(i%classCount)<<2|uint64(i%4)) // class; whether the endpoint has just started; whether it runs the newest build
		b = append(b, byte(i%7)|byte(i%5)<<3, byte(120+i))               // outcome and queue depth; latency ratio
	}
	return b
}

// decisionDatagram encodes an aggregator's decision on a build at a stage, with the latency ratios of two machine types.
func decisionDatagram(build, stage uint64, verdict byte) []byte {
	b := binary.AppendUvarint([]byte{messageMagic, decisionType}, build)
	b = binary.AppendUvarint(b, stage)
	return append(b, verdict, 2, 128, 132)
}

// malformedDatagrams returns datagrams that a relay of another version or a faulty one may send. The receiver accepts or
// ignores each of them.
func malformedDatagrams(build, stage uint64) [][]byte {
	report := reportDatagram(build, stage, false, 40, [][3]byte{{1, 2, 3}, {4, 5, 6}})
	decision := decisionDatagram(build, stage, 1)
	return [][]byte{
		{},
		{messageMagic},
		{messageMagic, reportType},
		{messageMagic, decisionType},
		{messageMagic, 1, 0, 0, 0},
		{messageMagic, 2, 42, 0, 6, 0, 0, 0, 0, 0, 0, 0},
		{messageMagic, heartbeatType, 41, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0},
		{messageMagic, deltaType, 41, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 40, 1, 2, 3, 4, 5, 6, 7, 8, 0, 1, 0},
		{messageMagic, 7, 1, 1, 1},
		append([]byte{0x4d}, report[1:]...),
		report[:len(report)-1],
		append(append([]byte(nil), report...), 0),
		decision[:len(decision)-1],
		append(append([]byte(nil), decision...), 0),
		binary.AppendUvarint([]byte{messageMagic, reportType}, 1<<40), // a number out of range
		{messageMagic, decisionType, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 1},
		reportDatagram(build+7, stage, true, 900, nil),
		decisionDatagram(build, stage, 200), // no such verdict
		reportDatagram(build, 200, true, 1, [][3]byte{{0xff, 0xff, 0xff}}),
		make([]byte, maxDatagramBytes),
	}
}
