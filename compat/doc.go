// Package compat tests the external interfaces of the programs: bytes on pipes and sockets, files, standard output and exit
// codes. The tests build the binaries, run them as users do and compare the results with golden files under testdata, so
// they remain valid when code is moved or renamed.
//
// The tests import no other package of this module, do not check the text of log lines or the names of counters, and use
// the command names of the first release.
//
// Golden files are rewritten only by `go test ./compat -run NAME -update`. A difference in them is a change of a protocol
// or a file format, and belongs in the change log. The release controller's journals under testdata/desk/kept-* are test
// input that later binaries must be able to read, so -update rewrites them only together with -keep-journals.
package compat
