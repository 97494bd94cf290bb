// Package membership places the members of the log groups on the control hosts.
//
// Its contract: the members of a group stand in as many failure domains as the
// hosts allow, so that the loss of any one failure domain leaves a quorum
// wherever the number of hosts allows it; and the quorum of a region's group
// stands inside the region wherever the region has two hosts or more, so that a
// region that is cut off goes on. The same hosts give the same members, in
// whatever order they are listed.
package membership
