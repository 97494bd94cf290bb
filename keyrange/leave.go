package keyrange

import "time"

// departure records that an incarnation is leaving. It outlives the server's entry, so that a
// delayed heartbeat does not add the server again.
type departure struct {
	startMillis int64
	at          time.Duration
}

// applyDeparture marks a server as leaving if it sent a Leave message.
func (c *Coordinator) applyDeparture(s *server) {
	d, known := c.departures[s.info.ID]
	if !known || d.startMillis < s.info.StartMillis {
		return
	}
	s.leaving, s.leaveAt = true, d.at
	s.info.Draining = true
	c.serverChanged(s)
}

// KnowsDeparture reports whether nothing needs to be recorded of a process that says that it is draining: that was passed to
// Leave or RestoreLeave, or no process is known that can have said it. A late heartbeat counts, too, since a process never
// stops draining.
func (c *Coordinator) KnowsDeparture(info Server) bool {
	s := c.servers[info.ID]
	return s == nil || s.leaving || !s.isProcess(info)
}

// NameProcess completes a Leave message that does not name the process, if the process is known. The message then concerns no
// later process of the server, however often it is passed to Leave or RestoreLeave.
func (c *Coordinator) NameProcess(leave Leave) Leave {
	if s := c.servers[leave.ID]; s != nil && leave.StartMillis == 0 {
		leave.StartMillis, leave.ReceivedMillis = s.info.StartMillis, 0
	}
	return leave
}

// Leave records that a server stops serving after the drain period: it sent a Leave message, or says in its
// heartbeats that it is draining. Its keys become free when it releases them or its lease expires.
func (c *Coordinator) Leave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now)
}

// RestoreLeave records a Leave message that an earlier leader received. The server receives no
// more requests, since the start of its drain period is unknown.
func (c *Coordinator) RestoreLeave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now-c.options.DrainPeriod)
}

func (c *Coordinator) recordDeparture(leave Leave, at time.Duration) {
	if s := c.servers[leave.ID]; s != nil && leave.StartMillis == 0 {
		if leave.ReceivedMillis > 0 && s.info.StartMillis > leave.ReceivedMillis {
			return // the message is of an earlier process
		}
		leave.StartMillis = s.info.StartMillis
	}
	if d, known := c.departures[leave.ID]; known && d.startMillis >= leave.StartMillis {
		return
	}
	c.departures[leave.ID] = departure{startMillis: leave.StartMillis, at: at}
	if s := c.servers[leave.ID]; s != nil {
		c.applyDeparture(s)
	}
}
