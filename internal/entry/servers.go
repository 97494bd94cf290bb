package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

const (
	maxAnnouncementBytes = 256 << 10
	maxServerSlots       = 1 << 16
	maxServerConnections = 1 << 20
	// maxGrantsWait bounds the wait of a long poll for grants.
	maxGrantsWait = 30 * time.Second
	// announceTimeout bounds one announcement, and the time by which a long poll for grants may exceed
	// its wait. It is longer than the default lease of 800 ms.
	announceTimeout = 2 * time.Second
)

// authorized reports whether the request has the bearer credential. The comparison takes constant
// time.
func authorized(c *app.RequestContext, secret string) bool {
	presented, found := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	if !found || secret == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(presented)), sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func (h *Host) handleAnnounce(ctx context.Context, c *app.RequestContext) {
	if !authorized(c, h.serverSecret) {
		h.writeRefusal(c, nil, refuseNotRun(401, "unauthorized", "the credential of backend servers is missing or wrong"))
		return
	}
	announcement, failure := readAnnouncement(c)
	if failure != nil {
		h.writeRefusal(c, nil, failure)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := h.sessions.Announce(ctx, announcement)
	if err != nil {
		h.writeRefusal(c, nil, refuseNotRun(503, "unavailable", "the announcement was not recorded: %v", err))
		return
	}
	c.JSON(200, reply)
}

func readAnnouncement(c *app.RequestContext) (wire.Announcement, *refusal) {
	var announcement wire.Announcement
	if c.Request.Header.ContentLength() > maxAnnouncementBytes {
		return announcement, refuseNotRun(413, reasonTooLarge, "the announcement has more than %d bytes", maxAnnouncementBytes)
	}
	body, err := readLimited(c, maxAnnouncementBytes)
	if err != nil {
		return announcement, badRequest("the announcement can't be read: %v", err)
	}
	if err := json.Unmarshal(body, &announcement); err != nil {
		return announcement, badRequest("the announcement is not valid JSON: %v", err)
	}
	if err := checkAnnouncement(announcement); err != nil {
		return announcement, badRequest("%v", err)
	}
	return announcement, nil
}

func checkAnnouncement(a wire.Announcement) error {
	fields := []struct{ name, value string }{
		{"name", a.Name}, {"service", a.Service}, {"region", a.Region}, {"domain", a.Domain}, {"incarnation", a.Incarnation},
	}
	for _, field := range fields {
		if !validName(field.value) {
			return errors.Errorf("%s must be 1 to %d letters, digits, '.', '_' or '-'", field.name, maxNameBytes)
		}
	}
	switch {
	case !validAddress(a.Address):
		return errors.New("address must be IP:port")
	case a.Slots < 1 || a.Slots > maxServerSlots:
		return errors.Errorf("slots must be 1 to %d", maxServerSlots)
	case a.Connections < 1 || a.Connections > maxServerConnections:
		return errors.Errorf("connections must be 1 to %d", maxServerConnections)
	case a.Load < 0:
		return errors.New("load must not be negative")
	}
	for _, grant := range a.Released {
		if grant.Slot < 0 {
			return errors.New("released slots must not be negative")
		}
	}
	return nil
}

func (h *Host) handleGrants(ctx context.Context, c *app.RequestContext) {
	if !authorized(c, h.serverSecret) {
		h.writeRefusal(c, nil, refuseNotRun(401, "unauthorized", "the credential of backend servers is missing or wrong"))
		return
	}
	query, err := parseGrantsQuery(c.Query)
	if err != nil {
		h.writeRefusal(c, nil, badRequest("%v", err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, query.wait+announceTimeout)
	defer cancel()
	ctx, stop := h.cancelOnStop(ctx)
	defer stop()
	grants, err := h.sessions.Grants(ctx, query.name, query.session, query.after, query.wait)
	if err != nil {
		h.writeRefusal(c, nil, refuseNotRun(503, "unavailable", "the grants are not known: %v", err))
		return
	}
	c.JSON(200, grants)
}

type grantsQuery struct {
	name    string
	session uint64
	after   uint64
	wait    time.Duration
}

func parseGrantsQuery(get func(string) string) (grantsQuery, error) {
	query := grantsQuery{name: get("name")}
	if !validName(query.name) {
		return query, errors.New("name is missing or not valid")
	}
	var err error
	if query.session, err = strconv.ParseUint(get("session"), 10, 64); err != nil || query.session == 0 {
		return query, errors.New("session must be a whole number above 0")
	}
	if query.after, err = parseOptionalUint(get("after")); err != nil {
		return query, errors.New("after must be a whole number")
	}
	millis, err := parseOptionalUint(get("wait_ms"))
	if err != nil || millis > uint64(maxGrantsWait.Milliseconds()) {
		return query, errors.Errorf("wait_ms must be at most %d", maxGrantsWait.Milliseconds())
	}
	query.wait = time.Duration(millis) * time.Millisecond
	return query, nil
}

func parseOptionalUint(value string) (uint64, error) {
	if value == "" {
		return 0, nil
	}
	return strconv.ParseUint(value, 10, 64)
}
