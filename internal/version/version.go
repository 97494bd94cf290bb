// Package version holds the build version that every binary reports.
package version

// Version is the build's source revision; the linker sets it.
var Version = "development"
