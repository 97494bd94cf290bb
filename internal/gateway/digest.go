package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/serverload"
)

// applyDigest applies what the leader says of the servers, if servers are chosen by their work.
func (b *backends) applyDigest(now time.Duration, body []byte) {
	if !b.byWork {
		return
	}
	var digest serverload.Digest
	err := cbor.Unmarshal(body, &digest)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		err = b.digests.Apply(now, digest)
	}
	if err != nil {
		log.WithError(err).Warn("invalid digest of servers dropped")
		return
	}
	b.digestBytes.Add(float64(len(body)))
	b.useDigests()
}

// useDigests updates the estimates of all servers. The caller holds b.mu.
func (b *backends) useDigests() {
	for _, server := range b.byID {
		server.useShared(b.digests.Server(server.hash))
	}
}

// digestAge returns the time since the latest digest, or 0 if there was none.
func (b *backends) digestAge(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.digests.ReceivedAt() == 0 {
		return 0
	}
	return now - b.digests.ReceivedAt()
}

// useShared updates the estimates from what the leader says of the server.
func (b *backend) useShared(e serverload.Estimate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shared = e
	b.factor = b.speed.FactorWith(e.Speed)
	if e.Speed > 0 {
		b.load.SetKnown()
	}
	if e.At != 0 {
		b.load.ObserveShared(e.At, e.PerSlot*float64(b.slots))
	}
}

// forgetSpeed forgets the learned speed of a server without news, by the rule of the leader.
func (b *backend) forgetSpeed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if serverload.Forgotten(now, b.newsAt) {
		b.speed = cost.Speed{}
		b.factor = b.speed.FactorWith(b.shared.Speed)
	}
}

// observeReport keeps a load report for the leader. The caller holds b.mu.
func (b *backend) observeReport(now time.Duration, r dispatch.Report) {
	if !b.byWork {
		return
	}
	b.observedAt = now
	b.observed.Running, b.observed.Waiting, b.observed.HostPercent = int64(r.Running), int64(r.Waiting), int64(r.HostPercent)
}
