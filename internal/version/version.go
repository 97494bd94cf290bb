// Package version holds the build version that every binary reports.
package version

// Version is the source revision of the build. It is set with -ldflags -X, see the Makefile.
var Version = "development"
