// Command simhost hosts instances of the decision module for the simulator. It reads batches of events from standard input
// and writes a reply to each batch to standard output. It makes no decisions itself: host.go steps the instances, and
// events.go and commands.go convert between the types of packages simwire and relay. Everything runs on one goroutine.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"lichenroad/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve reads batches and replies to them until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	h := &host{out: simwire.NewWriter(out), instances: map[uint16]*instance{}}
	for {
		clock, events, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, simwire.ErrMalformed) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(clock, events); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}
