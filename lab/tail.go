package lab

// The tail, as the brief counts it: by category and 5 s, the value served counts in full while at most so many of the
// queries that were not denied in time to go elsewhere miss their due time, and not at all at five times that.
const (
	tailWidth  = 5.0  // s
	tailMiss   = 0.03 // part of the queries
	tailTimes  = 5.0  // times that at which nothing counts
	tailSlots  = 4    // widths that are open: an answer comes within patience, which is under 15 s
	wholePart  = 0.3  // weights of the figure: the whole,
	worstPart  = 0.2  // the worst 10 s,
	leastPart  = 0.2  // the worst category,
	clientPart = 0.1  // the worst customer,
	tailPart   = 0.2  // and the tail
)

type tailCell struct {
	no                     int64
	asked, served          float64
	queries, early, inTime int
}

// tail keeps the cells that are open, and what came of the others.
type tail struct {
	cells          [][tailSlots]tailCell // by category
	asked, counted float64
}

// at gives the cell of a query; one that is too old for the ring is over, and gets none.
func (t *tail) at(category int, at float64) *tailCell {
	no := int64(at / tailWidth)
	c := &t.cells[category][no%tailSlots]
	if no > c.no {
		t.close(c)
		c.no = no
	}
	if no < c.no {
		return nil
	}
	return c
}

// close counts a cell.
func (t *tail) close(c *tailCell) {
	t.asked += c.asked
	if base := c.queries - c.early; base > 0 {
		miss := float64(base-c.inTime) / float64(base)
		t.counted += c.served * min(max((tailTimes-miss/tailMiss)/(tailTimes-1), 0), 1)
	}
	*c = tailCell{no: c.no}
}

// done gives the part of the value that counted.
func (t *tail) done() float64 {
	for i := range t.cells {
		for k := range t.cells[i] {
			t.close(&t.cells[i][k])
		}
	}
	if t.asked == 0 {
		return 0
	}
	return t.counted / t.asked
}

// figure is the brief's, before its deductions.
func (r *Replayed) figure() float64 {
	category, customer := 1.0, 1.0
	for _, s := range r.Categories {
		category = min(category, s.Service)
	}
	for _, s := range r.Customers {
		if s.Queries > 0 {
			customer = min(customer, s.Service)
		}
	}
	return wholePart*r.All.Service + worstPart*r.Worst10 + leastPart*category + clientPart*customer + tailPart*r.Tail
}
