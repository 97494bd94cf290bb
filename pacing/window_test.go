package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// linkLoad is a load of uploads on a link that several hosts share.
type linkLoad struct {
	hosts     int
	rate      float64       // of the link, bytes per second
	delay     time.Duration // of the link in both directions together, without queueing
	perSecond float64       // uploads
	meanBytes float64
	maxWait   time.Duration // uploads that would wait longer are refused
}

// linkResult is what a simulated link carried.
type linkResult struct {
	utilization float64
	queueing    []time.Duration // of each upload, ascending
	refused     int
}

// simulate sends uploads at random times over a link that is a queue without bounds.
func (l linkLoad) simulate(seed uint64, length time.Duration) linkResult {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	windows := make([]*Window, l.hosts)
	waiting := make([][]int, l.hosts) // sizes of the uploads that wait at each host
	type upload struct {
		host, bytes     int
		sentAt, ackedAt time.Duration
	}
	var underWay []upload
	var freeAt time.Duration // when the link has sent what is queued
	var result linkResult
	for i := range windows {
		windows[i] = NewWindow()
	}
	carried := 0
	for now := step; now < length; now += step {
		for i := 0; i < len(underWay); i++ {
			if u := underWay[i]; u.ackedAt <= now {
				windows[u.host].Acknowledged(now, u.bytes, now-u.sentAt)
				windows[u.host].Remove(u.bytes)
				underWay = slices.Delete(underWay, i, i+1)
				i--
			}
		}
		arrivals := 0
		for random.Float64() < l.perSecond*step.Seconds()/(1+l.perSecond*step.Seconds()) {
			arrivals++
		}
		for range arrivals {
			host, bytes := random.IntN(l.hosts), int(l.meanBytes*(0.4+1.2*random.Float64()))
			ahead := 0
			for _, b := range waiting[host] {
				ahead += b
			}
			if windows[host].Wait(now, bytes, ahead) > l.maxWait {
				result.refused++
				continue
			}
			waiting[host] = append(waiting[host], bytes)
		}
		for host, w := range windows {
			for len(waiting[host]) > 0 && w.Wait(now, waiting[host][0], 0) == 0 {
				bytes := waiting[host][0]
				waiting[host] = waiting[host][1:]
				w.Send(now, bytes)
				freeAt = max(freeAt, now)
				result.queueing = append(result.queueing, freeAt-now)
				firstOut := freeAt + time.Duration(1500/l.rate*float64(time.Second))
				freeAt += time.Duration(float64(bytes) / l.rate * float64(time.Second))
				underWay = append(underWay, upload{host, bytes, now, firstOut + l.delay})
				carried += bytes
			}
		}
	}
	slices.Sort(result.queueing)
	result.utilization = float64(carried) / (l.rate * length.Seconds())
	return result
}

// Guards against bodies that fill a link between regions, on which requests then wait for longer than
// their clients do.
func TestUploadsKeepTheQueueOfASharedLinkShort(t *testing.T) {
	const maxQueueing = 500 * time.Millisecond // within which a request must reach its server
	for _, l := range []linkLoad{
		{hosts: 4, rate: 30e6 / 8, delay: 40 * time.Millisecond, perSecond: 170, meanBytes: 60e3, maxWait: 500 * time.Millisecond},
		{hosts: 8, rate: 30e6 / 8, delay: 40 * time.Millisecond, perSecond: 90, meanBytes: 60e3, maxWait: 500 * time.Millisecond},
		{hosts: 40, rate: 60e6 / 8, delay: 40 * time.Millisecond, perSecond: 400, meanBytes: 60e3, maxWait: 500 * time.Millisecond},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", l.hosts, seed), func(t *testing.T) {
				got := l.simulate(seed, 30*time.Second)
				n := len(got.queueing)
				if worst := got.queueing[n*99/100]; worst > maxQueueing {
					t.Errorf("99%% of the uploads met queues of up to %v, want at most %v", worst, maxQueueing)
				}
				if got.utilization < 0.7 {
					t.Errorf("the overloaded link carried %.2f of its rate, want 0.7 or more", got.utilization)
				}
				t.Logf("utilization %.2f, queueing median %v, 99%% %v; sent %d, refused %d", got.utilization, got.queueing[n/2], got.queueing[n*99/100], n, got.refused)
			})
		}
	}
}

// Guards against a window that delays uploads on a link with free capacity.
func TestUploadsDontWaitForALinkWithFreeCapacity(t *testing.T) {
	l := linkLoad{hosts: 4, rate: 30e6 / 8, delay: 40 * time.Millisecond, perSecond: 20, meanBytes: 60e3, maxWait: 500 * time.Millisecond}
	for seed := range uint64(3) {
		if got := l.simulate(seed, 30*time.Second); got.refused > 0 || got.utilization < 0.28 {
			t.Errorf("seed %d: %d uploads refused, the link carried %.2f of its rate, want 0 and about 0.32", seed, got.refused, got.utilization)
		}
	}
}

// A request larger than the window is sent alone, at the rate that the window allows.
func TestRequestLargerThanWindowIsSentAlone(t *testing.T) {
	w := NewWindow()
	for i := range 20 {
		now := time.Duration(i+1) * time.Second
		w.Acknowledged(now, 1000, 40*time.Millisecond+time.Duration(i)*100*time.Millisecond)
	}
	now := 30 * time.Second
	if w.Size() != minWindow {
		t.Fatalf("window of %d bytes after long delays, want the minimum", w.Size())
	}
	if wait := w.Wait(now, 8*minWindow, 0); wait != 0 {
		t.Errorf("a large request waits %v although nothing is under way", wait)
	}
	w.Send(now, 8*minWindow)
	w.Remove(8 * minWindow)
	if wait := w.Wait(now+10*time.Millisecond, 8*minWindow, 0); wait <= 0 {
		t.Error("a second large request does not wait")
	}
}
