// Package abuse holds tests that start the system's processes on loopback addresses and connect many abusive clients to
// one of them. Each test has one kind of load. It checks that the process stays alive, that its memory and its open
// descriptors stay within those of the host that its settings name, and that an ordinary request is answered while the
// abusive clients are still connected. The tests run one at a time and apart from other packages: see scripts/unit.sh.
package abuse
