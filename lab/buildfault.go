package lab

import "math/rand"

// buildFault describes how a build misbehaves. A good build fails no requests and differs only slightly in speed.
type buildFault struct {
	name        string
	failureRate float64 // fraction of the requests that fail
	onlyClass   int     // class whose requests fail, or allClasses
	slowdown    float64 // multiplies the processing time
	fromAge     float64 // s since the start of an endpoint, from which on the fault shows
}

// maxGoodSlowdown is the highest slowdown of a build that counts as good.
const maxGoodSlowdown = 1.2

func (f buildFault) isGood() bool { return f.failureRate == 0 && f.slowdown <= maxGoodSlowdown }

// affects reports whether the build can fail requests of a class.
func (f buildFault) affects(class int) bool {
	return f.onlyClass == allClasses || f.onlyClass == class
}

// drawBuildFault draws the fault of a new build, which is bad with probability badFraction.
func drawBuildFault(random *rand.Rand, badFraction float64) buildFault {
	if random.Float64() >= badFraction {
		return buildFault{name: "good", onlyClass: allClasses, slowdown: uniform(random, 0.92, 1.08)}
	}
	switch random.Intn(4) {
	case 0:
		return buildFault{name: "fails", failureRate: uniform(random, 0.08, 0.36), onlyClass: allClasses, slowdown: 1}
	case 1:
		return buildFault{name: "more work", onlyClass: allClasses, slowdown: uniform(random, 2, 3.5)}
	case 2:
		rate := uniform(random, 0.4, 0.9)
		return buildFault{name: "fails one category", failureRate: rate, onlyClass: random.Intn(len(requestClasses)), slowdown: 1}
	}
	fault := buildFault{name: "turns slow late", onlyClass: allClasses}
	fault.failureRate = uniform(random, 0.15, 0.4)
	fault.slowdown = uniform(random, 2, 3)
	fault.fromAge = uniform(random, 5, 11)
	return fault
}
