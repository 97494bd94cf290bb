package backend

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	dialTimeout               = 250 * time.Millisecond
	minAnnounceTimeout        = 250 * time.Millisecond
	announceTimeoutHeartbeats = 3 // timeout of an announcement, in heartbeat intervals
	grantsPollWait            = 500 * time.Millisecond
	grantsPollTimeout         = grantsPollWait + time.Second
	grantsRetryDelay          = 20 * time.Millisecond // after a failed poll
)

// announceLoop sends an announcement in each heartbeat interval. After a failure it tries the next
// entry host at once; after a failure of the last one in the list it waits for the interval first.
func (s *Server) announceLoop(ctx context.Context) {
	heartbeat := time.Duration(s.settings.HeartbeatMs) * time.Millisecond
	entry := 0
	for ctx.Err() == nil {
		s.freezeGate.wait()
		err := s.announce(ctx, s.settings.Entries[entry])
		if err != nil {
			s.logger.WithError(err).WithField("entry", s.settings.Entries[entry]).Debug("announcement failed")
			entry = (entry + 1) % len(s.settings.Entries)
		}
		if err == nil || entry == 0 {
			clock.Sleep(ctx, heartbeat)
		}
	}
}

func (s *Server) announce(ctx context.Context, entry string) error {
	announcement := s.announcement()
	sentAt := s.clock()
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	timeout := max(minAnnounceTimeout, time.Duration(announceTimeoutHeartbeats*s.settings.HeartbeatMs)*time.Millisecond)
	response, err := s.request(ctx, consts.MethodPost, "http://"+entry+wire.PathAnnounce, body, timeout)
	if err != nil {
		return err
	}
	s.freezeGate.wait()
	var reply wire.AnnouncementReply
	if err := json.Unmarshal(response, &reply); err != nil {
		return errors.Wrap(err, "decode announcement reply")
	}
	s.handleReply(announcement, sentAt, reply)
	return nil
}

func (s *Server) announcement() wire.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Announcement{
		Address:       s.Address(),
		Connections:   s.settings.Connections,
		Domain:        s.settings.Domain,
		Draining:      s.draining,
		Fencing:       s.settings.Fencing,
		GrantsVersion: s.owned.version,
		Incarnation:   s.owned.incarnation,
		Keyed:         s.settings.Keyed,
		Load:          s.sampledLoad(),
		Name:          s.settings.Name,
		Region:        s.settings.Region,
		Released:      s.owned.released(),
		Service:       s.settings.Service,
		Session:       s.owned.session,
		Slots:         s.settings.Slots,
	}
}

// sampledLoad returns a load that was sampled at most MaxLoadAge ago. The caller holds mu.
func (s *Server) sampledLoad() int {
	now := s.clock()
	if s.loadSampledAt == 0 || now-s.loadSampledAt >= s.options.MaxLoadAge {
		s.reportedLoad = s.inFlight
		s.loadSampledAt = now
	}
	return s.reportedLoad
}

func (s *Server) handleReply(sent wire.Announcement, sentAt time.Duration, reply wire.AnnouncementReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned.handleReply(sent.Incarnation, sentAt, reply) {
		s.owned.reset(rand.Text())
		s.logger.WithField("session", sent.Session).Warn("session ended; registering again with a new incarnation")
	}
	if sent.Draining && reply.Session != 0 {
		s.drainAcknowledged = true
	}
}

// grantsLoop keeps the grants up to date by long polling.
func (s *Server) grantsLoop(ctx context.Context) {
	entry := 0
	for ctx.Err() == nil {
		s.freezeGate.wait()
		polled, err := s.pollGrants(ctx, s.settings.Entries[entry])
		if err != nil {
			s.logger.WithError(err).WithField("entry", s.settings.Entries[entry]).Debug("polling for grants failed")
			entry = (entry + 1) % len(s.settings.Entries)
		}
		if !polled || err != nil {
			clock.Sleep(ctx, grantsRetryDelay)
		}
	}
}

// pollGrants waits for a later version of the grants and reports whether one was applied. Without a
// session it sends no request.
func (s *Server) pollGrants(ctx context.Context, entry string) (bool, error) {
	s.mu.Lock()
	session, version := s.owned.session, s.owned.version
	s.mu.Unlock()
	if session == 0 {
		return false, nil
	}
	query := url.Values{}
	query.Set("name", s.settings.Name)
	query.Set("session", strconv.FormatUint(session, 10))
	query.Set("after", strconv.FormatUint(version, 10))
	query.Set("wait_ms", strconv.FormatInt(grantsPollWait.Milliseconds(), 10))
	body, err := s.request(ctx, consts.MethodGet, "http://"+entry+wire.PathGrants+"?"+query.Encode(), nil, grantsPollTimeout)
	if err != nil {
		return false, err
	}
	s.freezeGate.wait()
	var grants wire.Grants
	if err := json.Unmarshal(body, &grants); err != nil {
		return false, errors.Wrap(err, "decode grants")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned.applyGrants(grants), nil
}

// request sends a request with the credential of backend servers and returns the response body. The
// client closes a connection that timed out and does not reuse it.
func (s *Server) request(ctx context.Context, method, uri string, body []byte, timeout time.Duration) ([]byte, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI(uri)
	request.Header.Set("Authorization", "Bearer "+string(s.options.Secret))
	if body != nil {
		request.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
		request.SetBody(body)
	}
	if err := s.client.DoTimeout(ctx, request, response, timeout); err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, uri)
	}
	responseBody := append([]byte{}, response.Body()...)
	if response.StatusCode() != consts.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", method, uri, response.StatusCode(), responseBody)
	}
	return responseBody, nil
}
