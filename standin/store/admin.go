package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// FaultsMessage is the JSON form of memstore.Faults; times are in milliseconds.
type FaultsMessage struct {
	Down          bool    `json:"down"`
	DelayMS       int64   `json:"delay_ms"`
	LoseShare     float64 `json:"lose_share"`
	LoseNext      int     `json:"lose_next"`
	DelayWritesMS int64   `json:"delay_writes_ms"`
	WatchBroken   bool    `json:"watch_broken"`
	StaleWatch    bool    `json:"stale_watch"`
}

// StatsMessage counts the calls since the start by kind. Calls refused by a rate limit count
// as throttled only.
type StatsMessage struct {
	Gets      int64 `json:"gets"`
	Lists     int64 `json:"lists"`
	Polls     int64 `json:"polls"`
	Puts      int64 `json:"puts"`
	Deletes   int64 `json:"deletes"`
	Throttled int64 `json:"throttled"`
}

type counts struct {
	gets      atomic.Int64
	lists     atomic.Int64
	polls     atomic.Int64
	puts      atomic.Int64
	deletes   atomic.Int64
	throttled atomic.Int64
}

func (s *Server) stats(c echo.Context) error {
	return c.JSON(http.StatusOK, StatsMessage{
		Gets:      s.counts.gets.Load(),
		Lists:     s.counts.lists.Load(),
		Polls:     s.counts.polls.Load(),
		Puts:      s.counts.puts.Load(),
		Deletes:   s.counts.deletes.Load(),
		Throttled: s.counts.throttled.Load(),
	})
}

func (s *Server) showFaults(c echo.Context) error {
	f := s.memory.CurrentFaults()
	return c.JSON(http.StatusOK, FaultsMessage{
		Down:          f.Down,
		DelayMS:       f.Delay.Milliseconds(),
		LoseShare:     f.LoseResponseRate,
		LoseNext:      f.LoseNextResponses,
		DelayWritesMS: f.DelayWrites.Milliseconds(),
		WatchBroken:   f.WatchBroken,
		StaleWatch:    f.StaleWatch,
	})
}

func (s *Server) setFaults(c echo.Context) error {
	var m FaultsMessage
	if err := c.Bind(&m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.memory.SetFaults(memstore.Faults{
		Down:              m.Down,
		Delay:             time.Duration(m.DelayMS) * time.Millisecond,
		LoseResponseRate:  m.LoseShare,
		LoseNextResponses: m.LoseNext,
		DelayWrites:       time.Duration(m.DelayWritesMS) * time.Millisecond,
		WatchBroken:       m.WatchBroken,
		StaleWatch:        m.StaleWatch,
	})
	return c.NoContent(http.StatusNoContent)
}
