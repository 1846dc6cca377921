package lab

// The tail metric counts served weight by class and by cell of time: in full while at most maxMissFraction of the cell's
// requests miss their latency objective, linearly less above that, and not at all from zeroMissMultiple times that fraction
// on. Requests that were rejected within the objective are left out of the fraction: their clients can still go elsewhere.
const (
	tailCellWidth    = 5.0 // s
	maxMissFraction  = 0.03
	zeroMissMultiple = 5.0
	openTailCells    = 4 // cells per class that still count: every answer comes within the deadline, which is under 15 s
)

// Weights of the terms of a replay's score: served fractions, and the tail metric.
const (
	allWeight           = 0.3 // all requests
	worstIntervalWeight = 0.2 // the worst interval of 10 s
	worstClassWeight    = 0.2 // the worst class
	worstTenantWeight   = 0.1 // the worst tenant
	tailWeight          = 0.2 // the tail
)

// tailCell counts the requests of a class that arrived within one cell of time.
type tailCell struct {
	index          int64   // number of the cell since the start
	offered        float64 // weight
	served         float64 // weight, in time
	requests       int
	rejectedInTime int
	inTime         int
}

// countedWeight returns the part of the served weight that counts.
func (c *tailCell) countedWeight() float64 {
	expected := c.requests - c.rejectedInTime
	if expected <= 0 {
		return 0
	}
	miss := float64(expected-c.inTime) / float64(expected)
	return c.served * min(max((zeroMissMultiple-miss/maxMissFraction)/(zeroMissMultiple-1), 0), 1)
}

// tail holds the open cells, in a ring for each class, and the sums of the closed ones.
type tail struct {
	cells            [][openTailCells]tailCell // by class
	offered, counted float64                   // weight
}

// cellOf returns the cell of a request that arrived at a time; nil if the cell is closed already.
func (t *tail) cellOf(class int, at float64) *tailCell {
	index := int64(at / tailCellWidth)
	cell := &t.cells[class][index%openTailCells]
	if index > cell.index {
		t.closeCell(cell)
		cell.index = index
	}
	if index < cell.index {
		return nil
	}
	return cell
}

// closeCell adds a cell to the sums and empties it.
func (t *tail) closeCell(cell *tailCell) {
	t.offered += cell.offered
	t.counted += cell.countedWeight()
	*cell = tailCell{index: cell.index}
}

// fraction closes all cells and returns the fraction of the offered weight that counted.
func (t *tail) fraction() float64 {
	for class := range t.cells {
		for i := range t.cells[class] {
			t.closeCell(&t.cells[class][i])
		}
	}
	if t.offered == 0 {
		return 0
	}
	return t.counted / t.offered
}

// score returns the replay's score, before any deductions.
func (r *ReplayResult) score() float64 {
	worstClass, worstTenant := 1.0, 1.0
	for _, share := range r.Classes {
		worstClass = min(worstClass, share.ServedFraction)
	}
	for _, share := range r.Tenants {
		if share.Requests > 0 {
			worstTenant = min(worstTenant, share.ServedFraction)
		}
	}
	return allWeight*r.All.ServedFraction + worstIntervalWeight*r.Worst10 + worstClassWeight*worstClass +
		worstTenantWeight*worstTenant + tailWeight*r.Tail
}
