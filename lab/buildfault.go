package lab

import "math/rand"

// buildFault is what is wrong with a build.
type buildFault struct {
	name        string
	failureRate float64 // of its requests
	onlyClass   int     // that fails, or allClasses
	slowdown    float64 // times the work
	fromAge     float64 // s of an endpoint's age from which it shows
}

// maxGoodSlowdown is up to which a build counts as good.
const maxGoodSlowdown = 1.2

func (f buildFault) isGood() bool { return f.failureRate == 0 && f.slowdown <= maxGoodSlowdown }

// concerns says whether requests of a class fail.
func (f buildFault) concerns(class int) bool {
	return f.onlyClass == allClasses || f.onlyClass == class
}

// drawBuildFault draws what is wrong with a new build.
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
