package main

import (
	"bytes"
	"errors"
	"time"
)

func init() { cases["config-race"] = configRace }

// configRace lets two operators change the configuration at once. Both prepare the same new service, but they disagree on
// whether its servers speak TLS.
func configRace(r *record, trouble bool) error {
	c, err := newCluster(r, 5, 1, false)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return err
	}
	alice := &operator{name: "operator A", record: r, addresses: c.controlAddresses()}
	bob := &operator{name: "operator B", record: r, addresses: c.controlAddresses(), next: 2}
	routes := []routeRow{{"r-orders", "orders.example", "/orders/", "unsafe", 1500, "orders", 2}}
	services := []serviceRow{{"orders", "h1", false, false}}
	if a := alice.put(0, 1, configuration(1, routes, services)); a.status != 200 {
		return errors.New("the first configuration was not accepted")
	}
	plain := configuration(2, routes, append(services, serviceRow{"stock", "h1", false, false}))
	base, version := 1, 2
	if !trouble { // one after the other
		base, version = 2, 3
	}
	withTLS := configuration(version, routes, append(services, serviceRow{"stock", "h1", true, false}))
	answers := make(chan answer, 1)
	put := func() { answers <- bob.put(base, version, withTLS) }
	if trouble {
		go put()
	}
	a := alice.put(1, 2, plain)
	if !trouble {
		put()
	}
	b := <-answers
	time.Sleep(configApplyMillis*time.Millisecond + time.Second)
	current := alice.call("GET", "/config/get", "", nil, 10*time.Second)
	if a.status == 0 || b.status == 0 || current.status != 200 {
		return errors.New("a call of an operator got no response")
	}
	r.add("operator A sent %s", plain)
	r.add("operator B sent %s", withTLS)
	r.add("the configuration read back is %s", current.body)
	if base == 1 && a.status == 200 && b.status == 200 {
		r.rule("CONFIG", "two different changes on top of version 1 are both acknowledged")
	}
	for _, change := range []struct {
		name         string
		acknowledged bool
		body         []byte
	}{{"A", trouble && a.status == 200, plain}, {"B", b.status == 200, withTLS}} {
		if change.acknowledged && !bytes.Equal(change.body, current.body) {
			r.rule("CONFIG", "the change of operator %s was acknowledged, and what is read back is not what it sent", change.name)
		}
	}
	return nil
}
