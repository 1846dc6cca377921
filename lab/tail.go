package lab

// The tail, as the brief counts it: by category and 5 s, the value served counts in full while at most so many of the
// queries that were not denied in time to go elsewhere miss their due time, and not at all at five times that.
const (
	tailCellWidth      = 5.0  // s
	maxMissFraction    = 0.03 // part of the queries
	zeroMissMultiple   = 5.0  // times that at which nothing counts
	openTailCells      = 4    // widths that are open: an answer comes within patience, which is under 15 s
	allWeight          = 0.3  // weights of the figure: the whole,
	worstStretchWeight = 0.2  // the worst 10 s,
	worstClassWeight   = 0.2  // the worst category,
	worstTenantWeight  = 0.1  // the worst customer,
	tailWeight         = 0.2  // and the tail
)

type tailCell struct {
	index                            int64
	offered, served                  float64
	requests, rejectedInTime, inTime int
}

// tail keeps the cells that are open, and what came of the others.
type tail struct {
	cells            [][openTailCells]tailCell // by category
	offered, counted float64
}

// at gives the cell of a query; one that is too old for the ring is over, and gets none.
func (t *tail) cellOf(category int, at float64) *tailCell {
	no := int64(at / tailCellWidth)
	c := &t.cells[category][no%openTailCells]
	if no > c.index {
		t.closeCell(c)
		c.index = no
	}
	if no < c.index {
		return nil
	}
	return c
}

// close counts a cell.
func (t *tail) closeCell(c *tailCell) {
	t.offered += c.offered
	if base := c.requests - c.rejectedInTime; base > 0 {
		miss := float64(base-c.inTime) / float64(base)
		t.counted += c.served * min(max((zeroMissMultiple-miss/maxMissFraction)/(zeroMissMultiple-1), 0), 1)
	}
	*c = tailCell{index: c.index}
}

// done gives the part of the value that counted.
func (t *tail) fraction() float64 {
	for i := range t.cells {
		for k := range t.cells[i] {
			t.closeCell(&t.cells[i][k])
		}
	}
	if t.offered == 0 {
		return 0
	}
	return t.counted / t.offered
}

// figure is the brief's, before its deductions.
func (r *ReplayResult) score() float64 {
	category, customer := 1.0, 1.0
	for _, s := range r.Classes {
		category = min(category, s.ServedFraction)
	}
	for _, s := range r.Tenants {
		if s.Requests > 0 {
			customer = min(customer, s.ServedFraction)
		}
	}
	return allWeight*r.All.ServedFraction + worstStretchWeight*r.Worst10 + worstClassWeight*category + worstTenantWeight*customer + tailWeight*r.Tail
}
