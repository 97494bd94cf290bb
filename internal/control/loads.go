package control

import (
	"time"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
)

// observeLoads records the slot loads that an entry host reports. A slot without a request count
// is ignored.
func observeLoads(coordinator *ownership.Coordinator, now time.Duration, loads []wire.ServiceLoads) {
	for _, service := range loads {
		for i := range min(len(service.Slots), len(service.Requests)) {
			coordinator.ObserveLoad(now, service.Service, service.Slots[i], service.Requests[i])
		}
	}
}
