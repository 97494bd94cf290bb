package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/pacing"
)

// maxLinkChunkBytes bounds the bytes of an upload that are sent to another region at once.
const maxLinkChunkBytes = 16 << 10

// regionLink meters and paces this host's traffic to other regions. Lookups and orders are never
// delayed; the bodies of uploads wait for free capacity. Responses are only counted, because the
// receiving side can't pace them.
type regionLink struct {
	now         func() time.Duration
	interactive purposeBytes
	bulk        purposeBytes

	mu    sync.Mutex // guards pacer; no other lock is acquired while it is held
	pacer *pacing.Link
}

// purposeBytes counts the bytes sent and received for one purpose, interactive or bulk.
type purposeBytes struct{ sent, received atomic.Int64 }

// linkBytes is the traffic to and from other regions since the start, in bytes.
type linkBytes struct {
	InteractiveSent     int64 `json:"interactive_sent"`
	InteractiveReceived int64 `json:"interactive_received"`
	BulkSent            int64 `json:"bulk_sent"`
	BulkReceived        int64 `json:"bulk_received"`
}

func newRegionLink(now func() time.Duration, bytesPerSecond int) *regionLink {
	return &regionLink{now: now, pacer: pacing.NewLink(float64(bytesPerSecond))}
}

func (l *regionLink) bytes() linkBytes {
	return linkBytes{
		InteractiveSent:     l.interactive.sent.Load(),
		InteractiveReceived: l.interactive.received.Load(),
		BulkSent:            l.bulk.sent.Load(),
		BulkReceived:        l.bulk.received.Load(),
	}
}

// meterAndPace sets up metering, and pacing for uploads, of an attempt at a server in another region.
func (l *regionLink) meterAndPace(r *pendingRequest, request *forward.Request) {
	if r.in.class != admission.Upload {
		request.Meter = interactiveMeter{l}
		return
	}
	request.Meter = bulkMeter{l}
	if request.Stream != nil {
		request.Stream = &pacedReader{ctx: r.attemptContext(), reader: request.Stream, link: l}
	}
}

type interactiveMeter struct{ link *regionLink }

// Sent implements forward.Meter.
func (m interactiveMeter) Sent(bytes int) {
	m.link.interactive.sent.Add(int64(bytes))
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	m.link.pacer.RecordInteractive(m.link.now(), bytes)
}

// Received implements forward.Meter.
func (m interactiveMeter) Received(bytes int) { m.link.interactive.received.Add(int64(bytes)) }

type bulkMeter struct{ link *regionLink }

// Sent implements forward.Meter.
func (m bulkMeter) Sent(bytes int) { m.link.bulk.sent.Add(int64(bytes)) }

// Received implements forward.Meter.
func (m bulkMeter) Received(bytes int) { m.link.bulk.received.Add(int64(bytes)) }

// admitBulk reserves capacity for bulk bytes and returns 0, or returns how long to wait before the
// next call.
func (l *regionLink) admitBulk(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.AdmitBulk(l.now(), bytes)
}

// pacedReader returns an upload's body in chunks, each once the link has free capacity.
type pacedReader struct {
	ctx    context.Context
	reader io.Reader
	link   *regionLink
}

// Read implements io.Reader.
func (p *pacedReader) Read(out []byte) (int, error) {
	n, err := p.reader.Read(out[:min(len(out), maxLinkChunkBytes)])
	if n == 0 {
		return n, err
	}
	for {
		wait := p.link.admitBulk(n)
		if wait == 0 {
			return n, err
		}
		clock.Sleep(p.ctx, wait)
		if p.ctx.Err() != nil {
			return 0, p.ctx.Err()
		}
	}
}
