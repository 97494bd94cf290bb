package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/pacing"
)

// linkPiece is the longest piece of an upload that is sent to another region at
// a time, bytes.
const maxLinkChunkBytes = 16 << 10

// regionLink is this host's part of the link to other regions. Lookups and
// orders are never held up; the bodies of uploads wait for room. Answers can't
// be held up here, and are counted only.
type regionLink struct {
	now         func() time.Duration
	interactive purposeBytes
	bulk        purposeBytes

	mu    sync.Mutex // guards sent; a leaf
	pacer *pacing.Link
}

// purposeBytes counts the bytes of one purpose.
type purposeBytes struct{ sent, received atomic.Int64 }

// linkBytes is what went over the link since the start, in bytes.
type linkBytes struct {
	InteractiveSent     int64 `json:"interactive_sent"`
	InteractiveReceived int64 `json:"interactive_received"`
	BulkSent            int64 `json:"bulk_sent"`
	BulkReceived        int64 `json:"bulk_received"`
}

func newRegionLink(now func() time.Duration, rate int) *regionLink {
	return &regionLink{now: now, pacer: pacing.NewLink(float64(rate))}
}

func (l *regionLink) bytes() linkBytes {
	return linkBytes{
		InteractiveSent:     l.interactive.sent.Load(),
		InteractiveReceived: l.interactive.received.Load(),
		BulkSent:            l.bulk.sent.Load(),
		BulkReceived:        l.bulk.received.Load(),
	}
}

// measure counts and paces an attempt at a server of another region.
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

// admitBulk takes room for bulk bytes, or returns how long to wait for it.
func (l *regionLink) admitBulk(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.AdmitBulk(l.now(), bytes)
}

// pacedReader hands an upload's body on in pieces, each when the link has room.
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
		sleepContext(p.ctx, wait)
		if p.ctx.Err() != nil {
			return 0, p.ctx.Err()
		}
	}
}
