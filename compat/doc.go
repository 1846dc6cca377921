// Package compat holds tests of what the programs write and read: bytes on pipes and sockets, files, results on standard
// output and exit codes. They build the binaries, run them as their users do and compare with golden files under
// testdata, so they keep their meaning when code is moved and renamed.
//
// The tests import no other package of this module, assert no text of log lines and no names of counters, and call the
// commands by the names under which they were first released.
//
// A golden file changes only by `go test ./compat -run NAME -update`. Such a change is a change of the wire or of a file
// format, and belongs in the change log. The release controller's journals under testdata/desk/kept-* are input: later
// binaries must read them, so -update leaves them as they are unless -keep-journals is given too.
package compat
