package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/routes"
)

const (
	// configReportInterval is the least interval between reports of an unchanged configuration.
	configReportInterval = 500 * time.Millisecond
	// configReportTimeout bounds one report. It is shorter than the lease, but longer than packets
	// mostly wait on a full link: a report that was given up renews no lease.
	configReportTimeout = 4 * time.Second
	// stopReportTimeout bounds the report that the gateway has stopped.
	stopReportTimeout = 300 * time.Millisecond
)

// reportConfig reports the configuration in force to the leader, periodically and at each change,
// until the context ends. A report doesn't wait for the replies to earlier ones: the acknowledgement
// of a new configuration waits for it.
func (l *leaderLink) reportConfig(ctx context.Context, client *peer.Client) {
	var reports sync.WaitGroup
	defer reports.Wait()
	for ctx.Err() == nil {
		reports.Go(func() { l.reportVersion(ctx, client) })
		l.reportEvacuationTraffic(client)
		select {
		case <-ctx.Done():
		case <-time.After(intervalFor(l.view.gateways(), configReportInterval)):
		case <-l.view.configChanged:
		}
	}
}

// reportVersion reports the configuration in force once, and records the lease that the leader grants.
func (l *leaderLink) reportVersion(ctx context.Context, client *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, configReportTimeout)
	defer cancel()
	sentAt := clockNow()
	reply, err := callLeader[routes.ConfigReportReply](ctx, client, wire.KindConfigReport, routes.ConfigReport{
		Version: l.view.configVersion(), Evacuations: l.view.evacuationRevision(),
	})
	if err != nil {
		log.WithError(err).Debug("cannot report the configuration in force")
		return
	}
	l.delay.add(sentAt)
	if reply.TableSent {
		l.view.confirmTable(sentAt)
	}
	if reply.LeaseMillis > 0 {
		l.view.renewConfigLease(sentAt, clock.Milliseconds(reply.LeaseMillis))
	}
}

// reportStopped tells the leader that this gateway serves no more requests, so that acknowledgements
// don't wait for the end of its lease.
func (l *leaderLink) reportStopped(client *peer.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), stopReportTimeout)
	defer cancel()
	if _, err := callLeader[routes.ConfigReportReply](ctx, client, wire.KindConfigReport, routes.ConfigReport{Stopped: true}); err != nil {
		log.WithError(err).Debug("cannot report the stop; the next configuration may wait for the lease")
	}
}
