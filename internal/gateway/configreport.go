package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/routes"
)

const (
	// configReportInterval is the interval between reports of an unchanged configuration.
	configReportInterval = 500 * time.Millisecond
	// configReportTimeout bounds one report. It is shorter than the lease, but longer than packets
	// mostly wait on a full link: a report that was given up renews no lease.
	configReportTimeout = 4 * time.Second
)

// reportConfig reports the configuration in force to the leader, periodically and at each change,
// until the context ends.
func (l *leaderLink) reportConfig(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(configReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := l.reportConfigOnce(ctx, client); err != nil {
			log.WithError(err).Debug("cannot report the configuration in force")
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-l.view.configChanged:
		}
	}
}

func (l *leaderLink) reportConfigOnce(ctx context.Context, client *peer.Client) error {
	ctx, cancel := context.WithTimeout(ctx, configReportTimeout)
	defer cancel()
	version := l.view.configVersion()
	body, err := cbor.Marshal(routes.ConfigReport{Version: version})
	if err != nil {
		return errors.Wrap(err, "encode configuration report")
	}
	sentAt := clockNow()
	replyBody, err := client.Call(ctx, wire.KindConfigReport, body)
	if err != nil {
		return err
	}
	var reply routes.ConfigReportReply
	if err := cbor.Unmarshal(replyBody, &reply); err != nil {
		return errors.Wrap(err, "decode reply to configuration report")
	}
	if reply.TableSent {
		l.view.confirmTable(sentAt)
	}
	if reply.LeaseMillis > 0 {
		l.view.renewConfigLease(sentAt, clock.Milliseconds(reply.LeaseMillis))
	}
	return nil
}
