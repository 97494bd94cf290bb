package admitshare

import "time"

// Counter counts the demand at one gateway. The zero value has counted nothing. It is not safe for concurrent use.
type Counter struct {
	groups map[Group]Demand
}

// Add counts a request with its expected work.
func (c *Counter) Add(group Group, work time.Duration) {
	if c.groups == nil {
		c.groups = map[Group]Demand{}
	}
	d := c.groups[group]
	d.Group = group
	d.Requests++
	d.WorkMicros += work.Microseconds()
	c.groups[group] = d
}

// Take returns the demand since the last call.
func (c *Counter) Take() DemandReport {
	report := DemandReport{Groups: make([]Demand, 0, len(c.groups))}
	for _, d := range c.groups {
		report.Groups = append(report.Groups, d)
	}
	clear(c.groups)
	return report
}
