package dispatch

// set returns the set to draw from: the candidates of the best class up to a distance and a level of the wait.
func (w *workChoice) set() (farthest Distance, level uint8) {
	if w.best&classLate != 0 {
		return w.nearestLate(), levels - 1
	}
	for level := range uint8(levels - 1) {
		var within float64
		for d := range distances {
			for l := range level + 1 {
				within += w.capacity[d][l]
			}
			if within > 0 && within >= enoughCapacity*w.total[d] {
				return Distance(d), level
			}
		}
	}
	return OtherRegion, levels - 1
}

// nearestLate returns the distance up to which late requests go: not to another region, if the own one has a server.
func (w *workChoice) nearestLate() Distance {
	for d := range OtherRegion {
		for _, capacity := range w.capacity[d] {
			if capacity > 0 {
				return SameRegion
			}
		}
	}
	return OtherRegion
}

// in reports whether a candidate is in the set to draw from.
func (w *workChoice) in(c *Candidate, farthest Distance, level uint8) bool {
	return c.estimate.class == w.best && c.Distance <= farthest && c.estimate.level <= level
}

// draw returns a random candidate of the set other than the given one, or -1 if there is none.
func (w *workChoice) draw(candidates []Candidate, farthest Distance, level uint8, random func() float64, other int) int {
	total := 0.0
	for d := range farthest + 1 {
		for l := range level + 1 {
			total += w.capacity[d][l]
		}
	}
	if other >= 0 {
		total -= candidates[other].estimate.capacity
	}
	left, last := random()*total, -1
	for i := range candidates {
		c := &candidates[i]
		if i == other || !w.in(c, farthest, level) {
			continue
		}
		last = i
		if left -= c.estimate.capacity; left < 0 {
			break
		}
	}
	return last
}

// better reports whether a is preferred to b.
func (w *workChoice) better(a, b *Candidate) bool {
	difference := a.estimate.finish - b.estimate.finish
	if equal := equalPart * float64(w.request.Work); difference > equal || difference < -equal {
		return difference < 0
	}
	if a.Distance != b.Distance {
		return a.Distance < b.Distance
	}
	if a.Open != b.Open {
		return a.Open
	}
	return difference < 0
}

func (w *workChoice) basis(candidates []Candidate, chosen int) Basis {
	c := &candidates[chosen]
	switch {
	case c.Avoid:
		return BasisAvoided
	case c.estimate.class&classSuspect != 0:
		return BasisSuspect
	case c.estimate.class&classLate != 0:
		return BasisLate
	}
	for d := range c.Distance {
		if w.total[d] > 0 {
			return BasisSpill
		}
	}
	return BasisNear
}
