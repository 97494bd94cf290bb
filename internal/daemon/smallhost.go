package daemon

import (
	"os"
	"runtime/debug"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/eventlog"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/logging"
	"github.com/galenalug/galenalug/internal/settings"
)

// smallHostGCPercent is the garbage collection target (GOGC) for small hosts, on which memory
// is scarcer than processor time: a collection starts when the heap has grown by this percentage.
const smallHostGCPercent = 30

// SetUpSmallHost prepares a process for a host with little memory, and directs its log to standard
// output. Close the writer before the process ends, to write what is buffered.
func SetUpSmallHost(s *settings.LogSettings, host hostlimits.Host) (*eventlog.Writer, error) {
	debug.SetGCPercent(smallHostGCPercent)
	host.Apply()
	writer := eventlog.NewWriter(os.Stdout)
	if err := logging.Setup(s, writer); err != nil {
		writer.Close()
		return nil, err
	}
	log.WithFields(log.Fields{
		"memory_mb": host.Memory >> 20, "descriptors": host.Descriptors, "client_bytes": host.Budget(), "client_connections": host.Clients(),
	}).Info("limits of the host")
	for _, warning := range host.CheckSystem() {
		log.Warn(warning)
	}
	return writer, nil
}
