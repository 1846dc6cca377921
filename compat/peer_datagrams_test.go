package compat_test

import "encoding/binary"

// Datagrams between relays begin with a mark and the number of their form.
const (
	datagramMark  = 0x4c
	formReport    = 3
	formDecision  = 4
	formHeartbeat = 5
	formDelta     = 6

	maxDatagramBytes = 256
)

// isForm reports whether a datagram is of a form.
func isForm(body []byte, form byte) bool {
	return len(body) >= 2 && body[0] == datagramMark && body[1] == form
}

// reportDatagram is a peer's report on a build at a stage: for each class a flag and a count of attempts, and some attempts'
// outcomes.
func reportDatagram(build, stage uint64, flagged bool, attempts uint64, endpointHashes [][3]byte) []byte {
	b := binary.AppendUvarint([]byte{datagramMark, formReport}, build)
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
		b = binary.AppendUvarint(b, uint64(i%classCount)<<2|uint64(i%4)) // class; endpoint just started; endpoint of the newest build
		b = append(b, byte(i%7)|byte(i%5)<<3, byte(120+i))               // outcome and queue depth; latency ratio
	}
	return b
}

// decisionDatagram is a peer's vote on a build at a stage, with the latency ratios of two machine types.
func decisionDatagram(build, stage uint64, vote byte) []byte {
	b := binary.AppendUvarint([]byte{datagramMark, formDecision}, build)
	b = binary.AppendUvarint(b, stage)
	return append(b, vote, 2, 128, 132)
}

// malformedDatagrams are such as a relay of another version or a faulty one may send: each is accepted or ignored.
func malformedDatagrams(build, stage uint64) [][]byte {
	report := reportDatagram(build, stage, false, 40, [][3]byte{{1, 2, 3}, {4, 5, 6}})
	decision := decisionDatagram(build, stage, 1)
	return [][]byte{
		{},
		{datagramMark},
		{datagramMark, formReport},
		{datagramMark, formDecision},
		{datagramMark, 1, 0, 0, 0},
		{datagramMark, 2, 42, 0, 6, 0, 0, 0, 0, 0, 0, 0},
		{datagramMark, formHeartbeat, 41, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0},
		{datagramMark, formDelta, 41, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 40, 1, 2, 3, 4, 5, 6, 7, 8, 0, 1, 0},
		{datagramMark, 7, 1, 1, 1},
		append([]byte{0x4d}, report[1:]...),
		report[:len(report)-1],
		append(append([]byte(nil), report...), 0),
		decision[:len(decision)-1],
		append(append([]byte(nil), decision...), 0),
		binary.AppendUvarint([]byte{datagramMark, formReport}, 1<<40), // a number out of range
		{datagramMark, formDecision, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 1},
		reportDatagram(build+7, stage, true, 900, nil),
		decisionDatagram(build, stage, 200), // no such vote
		reportDatagram(build, 200, true, 1, [][3]byte{{0xff, 0xff, 0xff}}),
		make([]byte, maxDatagramBytes),
	}
}
