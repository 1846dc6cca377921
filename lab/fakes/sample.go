package fakes

import "time"

const sampleInterval = 50 * time.Microsecond

// LargestUntil calls sample again and again until done is closed, and returns the largest value.
func LargestUntil(done <-chan struct{}, sample func() int) (largest int) {
	for {
		largest = max(largest, sample())
		select {
		case <-done:
			return largest
		case <-time.After(sampleInterval):
		}
	}
}
