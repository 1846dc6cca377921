package lab

import (
	"fmt"

	"lichenroad/relay"
)

// requestClass describes the requests of a class. Times are in seconds.
type requestClass struct {
	name           string
	share          float64    // fraction of all requests
	work           [2]float64 // processing time on a core of speed 1: minimum and maximum
	objective      float64
	deadline       float64
	priorityWeight float64
	idempotency    relay.Idempotency
	dedupWindow    float64 // a site drops a repeated request for this long
}

var requestClasses = []requestClass{
	{"next-turn", 0.38, [2]float64{0.08, 0.13}, 0.8, 2.5, 2, relay.Idempotent, 0},
	{"full-route", 0.31, [2]float64{0.11, 0.19}, 1.5, 4, 1, relay.Idempotent, 0},
	{"stop-done", 0.16, [2]float64{0.08, 0.13}, 1, 4, 3, relay.IdempotencyKeyed, 4},
	{"reassign", 0.15, [2]float64{0.11, 0.19}, 1.2, 4, 3, relay.AtMostOnce, 0},
}

// allClasses stands for requests of every class.
const allClasses = -1

// ClassTerms holds the service terms of a request class. Times are in seconds.
type ClassTerms struct {
	Name             string
	PriorityWeight   float64
	LatencyObjective float64
	Deadline         float64
	DedupWindow      float64
	Idempotency      relay.Idempotency
}

// AllClassTerms lists the terms of the lab's classes, ordered by class index.
func AllClassTerms() (terms []ClassTerms) {
	for _, class := range requestClasses {
		terms = append(terms, ClassTerms{
			Name:             class.name,
			PriorityWeight:   class.priorityWeight,
			LatencyObjective: class.objective,
			Deadline:         class.deadline,
			DedupWindow:      class.dedupWindow,
			Idempotency:      class.idempotency,
		})
	}
	return terms
}

// ClassNames lists the names of the lab's classes, ordered by class index.
func ClassNames() (names []string) {
	for _, class := range requestClasses {
		names = append(names, class.name)
	}
	return names
}

// ClassIndex returns the index of the class with a given name.
func ClassIndex(name string) (int, error) {
	for i, class := range requestClasses {
		if class.name == name {
			return i, nil
		}
	}
	return -1, fmt.Errorf("category %q is none of %v", name, ClassNames())
}
