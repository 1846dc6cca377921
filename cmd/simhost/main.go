// Command simhost hosts instances of the decision module behind the simulator's pipe: batches of events on standard
// input, one reply a batch on standard output. It decides nothing: host.go steps the instances, events.go and commands.go
// translate between simwire's records and relay's types. All of it runs on one goroutine, which owns every instance.
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

// serve replies to batches until the input ends.
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
