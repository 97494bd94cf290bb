// Package membership assigns the replicas of the log groups to the control hosts.
//
// Its contract:
//
//   - The members of a group are in as many failure domains as the hosts allow, so that a quorum
//     survives the loss of any one failure domain wherever the number of hosts allows it.
//   - The quorum of a region's group is inside the region if the region has at least two hosts, so
//     that the group stays available when the region is cut off from the others.
//   - The result does not depend on the order in which the hosts are listed.
package membership
