package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/routes"
)

// configSession is the session of the lease on the configuration; there is only one.
const configSession = 1

// applyConfig puts an updated configuration into force. An older configuration than the one in force
// is ignored; an error means that the update does not apply.
func (v *view) applyConfig(u routes.Update) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var current routes.Config
	if v.routes != nil {
		current = v.routes.Config()
	}
	config, err := u.Apply(current)
	if err != nil || config.Version <= current.Version {
		return err
	}
	v.routes = routes.NewTable(config)
	v.versions.Add(time.Now(), config.Version)
	log.WithFields(log.Fields{"version": config.Version, "routes": len(config.Routes)}).Info("route configuration in force")
	signal(v.configChanged)
	v.signalChange()
	return nil
}

// renewConfigLease extends the lease on the configuration in force, which was the newest one at
// sentAt. A lease granted on an older configuration than the one in force is valid for this one too.
func (v *view) renewConfigLease(sentAt, length time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = max(v.confirmedAt, sentAt)
	v.configLease.Renewed(configSession, sentAt, length)
	v.signalChange()
}

// mayUseConfig reports whether the configuration in force may be used: a leader confirmed within the
// lease that it is the newest one.
func (v *view) mayUseConfig(now time.Duration) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.configLease.Valid(now)
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (v *view) configVersion() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.routes == nil {
		return 0
	}
	return v.routes.Version()
}

// confirmTable records that the servers and owners were up to date at a point in time: the leader's
// reply to a report that was sent then follows all earlier updates on the connection.
func (v *view) confirmTable(sentAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tableConfirmedAt = max(v.tableConfirmedAt, sentAt)
}
