package target

import (
	"net"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Announcement is the message by which a target registers itself with its node and renews the
// registration about once a second.
type Announcement struct {
	Name         string   `json:"name"`
	Incarnation  uint64   `json:"incarnation"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	ChecksFences bool     `json:"checks_fences"`
	Services     []string `json:"services"`
}

// AnnouncementReply answers an announcement.
type AnnouncementReply struct {
	Node string `json:"node"`
	// Stop asks the target to drain and end.
	Stop bool `json:"stop"`
}

// maxSlots bounds the slots that a target may announce.
const maxSlots = 1024

// Handler returns the HTTP handler to which the target on this VM announces itself.
func (l *Link) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.BodyLimit("64K"))
	e.POST("/v1/announce", l.handleAnnounce)
	return e
}

func (l *Link) handleAnnounce(c echo.Context) error {
	var a Announcement
	if err := c.Bind(&a); err != nil {
		return err
	}
	if problem := l.checkAnnouncement(a); problem != "" {
		return echo.NewHTTPError(http.StatusBadRequest, problem)
	}
	if !l.applyAnnouncement(a) {
		return echo.NewHTTPError(http.StatusConflict, "incarnation was replaced by a newer one")
	}
	return c.JSON(http.StatusOK, AnnouncementReply{Node: l.cfg.Node, Stop: l.stopRequested.Load()})
}

func (l *Link) checkAnnouncement(a Announcement) string {
	host, _, err := net.SplitHostPort(a.Address)
	switch {
	case a.Name != l.cfg.Node:
		return "name is not this VM's"
	case a.Incarnation == 0:
		return "incarnation is missing"
	case err != nil || net.ParseIP(host) == nil:
		return "address is not an IP address and port"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots must be 1 to 1024"
	}
	return ""
}

// applyAnnouncement applies an announcement. It reports false if the incarnation has been replaced
// by a newer one.
func (l *Link) applyAnnouncement(a Announcement) bool {
	accepted := true
	l.update("announcement", func(info *Info) []Event {
		if a.Incarnation != info.Incarnation && slices.Contains(l.retired, a.Incarnation) {
			accepted = false
			return nil
		}
		var events []Event
		if a.Incarnation != info.Incarnation {
			events = l.beginIncarnation(info, a.Incarnation)
		}
		info.Name = a.Name
		info.Address = a.Address
		info.Slots = a.Slots
		info.ChecksFences = a.ChecksFences
		info.Services = a.Services
		return events
	})
	if accepted {
		l.requestProbe()
	}
	return accepted
}

// beginIncarnation resets info for a new incarnation; the caller holds the lock.
func (l *Link) beginIncarnation(info *Info, incarnation uint64) []Event {
	var events []Event
	if info.Incarnation != 0 {
		events = append(events, Event{Kind: EventGone, Incarnation: info.Incarnation})
		l.retire(info.Incarnation)
	}
	*info = Info{Incarnation: incarnation, State: plane.TargetStarting}
	l.failedProbes = 0
	return append(events, Event{Kind: EventChanged, Incarnation: incarnation, State: info.State})
}

func (l *Link) retire(incarnation uint64) {
	l.retired = append(l.retired, incarnation)
	if len(l.retired) > maxRetired {
		l.retired = l.retired[1:]
	}
}

// requestProbe triggers a probe without waiting for the next interval.
func (l *Link) requestProbe() {
	select {
	case l.probeNow <- struct{}{}:
	default:
	}
}
