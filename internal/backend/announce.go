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

	"github.com/galenalug/galenalug/internal/wire"
)

const (
	dialTimeout        = 250 * time.Millisecond
	minAnnounceTimeout = 250 * time.Millisecond
	announceHeartbeats = 3 // heartbeats that an announcement's answer may take
	grantsWait         = 500 * time.Millisecond
	grantsTimeout      = grantsWait + time.Second
	grantsPause        = 20 * time.Millisecond // after a failed poll
)

// announceLoop announces at each heartbeat. After a failure it goes on with the
// next entry host at once.
func (s *Server) announceLoop(ctx context.Context) {
	heartbeat := time.Duration(s.settings.HeartbeatMs) * time.Millisecond
	entry := 0
	for ctx.Err() == nil {
		s.freezer.wait()
		err := s.announce(ctx, s.settings.Entries[entry])
		if err != nil {
			s.logger.WithError(err).WithField("entry", s.settings.Entries[entry]).Debug("announcement failed")
			entry = (entry + 1) % len(s.settings.Entries)
		}
		if err == nil || entry == 0 {
			pause(ctx, heartbeat)
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) announce(ctx context.Context, entry string) error {
	announcement := s.announcement()
	sentAt := s.clock()
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	timeout := max(minAnnounceTimeout, time.Duration(announceHeartbeats*s.settings.HeartbeatMs)*time.Millisecond)
	answer, err := s.request(ctx, consts.MethodPost, "http://"+entry+wire.PathAnnounce, body, timeout)
	if err != nil {
		return err
	}
	s.freezer.wait()
	var reply wire.AnnouncementReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return errors.Wrap(err, "decode announcement reply")
	}
	s.takeReply(announcement, sentAt, reply)
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
		Load:          s.loadToReport(),
		Name:          s.settings.Name,
		Region:        s.settings.Region,
		Released:      s.owned.released(),
		Service:       s.settings.Service,
		Session:       s.owned.session,
		Slots:         s.settings.Slots,
	}
}

// loadToReport returns the load as it was up to LoadLag ago; mu is held.
func (s *Server) loadToReport() int {
	now := s.clock()
	if s.loadTakenAt == 0 || now-s.loadTakenAt >= s.options.LoadLag {
		s.reportedLoad = s.waiting
		s.loadTakenAt = now
	}
	return s.reportedLoad
}

func (s *Server) takeReply(sent wire.Announcement, sentAt time.Duration, reply wire.AnnouncementReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned.renewed(sent.Incarnation, sentAt, reply) {
		s.owned.restart(rand.Text())
		s.logger.WithField("session", sent.Session).Warn("session ended; registering again with a new incarnation")
	}
	if sent.Draining && reply.Session != 0 {
		s.drainAcked = true
	}
}

// grantsLoop keeps the grants up to date by long polls.
func (s *Server) grantsLoop(ctx context.Context) {
	entry := 0
	for ctx.Err() == nil {
		s.freezer.wait()
		polled, err := s.pollGrants(ctx, s.settings.Entries[entry])
		if err != nil {
			s.logger.WithError(err).WithField("entry", s.settings.Entries[entry]).Debug("poll for grants failed")
			entry = (entry + 1) % len(s.settings.Entries)
		}
		if !polled || err != nil {
			pause(ctx, grantsPause)
		}
	}
}

// pollGrants waits for a later version of the grants; without a session it does
// nothing and returns false.
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
	query.Set("wait_ms", strconv.FormatInt(grantsWait.Milliseconds(), 10))
	answer, err := s.request(ctx, consts.MethodGet, "http://"+entry+wire.PathGrants+"?"+query.Encode(), nil, grantsTimeout)
	if err != nil {
		return false, err
	}
	s.freezer.wait()
	var grants wire.Grants
	if err := json.Unmarshal(answer, &grants); err != nil {
		return false, errors.Wrap(err, "decode grants")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned.apply(grants), nil
}

// request sends a request with the backend servers' credential. A timed-out
// connection is closed by the client and not used again.
func (s *Server) request(ctx context.Context, method, address string, body []byte, timeout time.Duration) ([]byte, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI(address)
	request.Header.Set("Authorization", "Bearer "+string(s.options.Secret))
	if body != nil {
		request.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
		request.SetBody(body)
	}
	if err := s.client.DoTimeout(ctx, request, response, timeout); err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, address)
	}
	answer := append([]byte{}, response.Body()...)
	if response.StatusCode() != consts.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", method, address, response.StatusCode(), answer)
	}
	return answer, nil
}
