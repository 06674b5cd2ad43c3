package link

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// CutMessage names two places, each a region or a failure domain. An empty B stands for
// every other place.
type CutMessage struct {
	A string `json:"a"`
	B string `json:"b"`
}

// LaneMessage counts what crossed from one region to another.
type LaneMessage struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
}

// StatsMessage is the state of the relay.
type StatsMessage struct {
	Lanes []LaneMessage `json:"lanes"`
	Cuts  []CutMessage  `json:"cuts"`
}

// Handler returns the admin interface: POST /admin/cut and /admin/heal with a CutMessage,
// POST /admin/heal with an empty one for all, and GET /admin/stats.
func (r *Relay) Handler() http.Handler {
	e := echo.New()
	e.POST("/admin/cut", func(c echo.Context) error { return r.change(c, r.Cut) })
	e.POST("/admin/heal", func(c echo.Context) error { return r.change(c, r.Heal) })
	e.GET("/admin/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, r.Stats()) })
	return e
}

func (r *Relay) change(c echo.Context, apply func(a, b string)) error {
	var m CutMessage
	if err := c.Bind(&m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	apply(m.A, m.B)
	return c.NoContent(http.StatusNoContent)
}

// Cut stops all bytes between the places, also of new connections, until Heal.
func (r *Relay) Cut(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[cutPair{a, b}] = true
	r.notifyLocked()
}

// Heal ends a cut; two empty names end all.
func (r *Relay) Heal(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a == "" && b == "" {
		clear(r.cuts)
	}
	delete(r.cuts, cutPair{a, b})
	delete(r.cuts, cutPair{b, a})
	r.notifyLocked()
}

func (r *Relay) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Stats returns the bytes that crossed between regions and the cuts.
func (r *Relay) Stats() StatsMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := StatsMessage{Lanes: []LaneMessage{}, Cuts: []CutMessage{}}
	for d, l := range r.lanes {
		stats.Lanes = append(stats.Lanes, LaneMessage{From: d.from, To: d.to, Bytes: l.bytes.Load()})
	}
	for _, cut := range slices.Collect(maps.Keys(r.cuts)) {
		stats.Cuts = append(stats.Cuts, CutMessage{A: cut.a, B: cut.b})
	}
	return stats
}

// waitHealed waits until no cut is between the places.
func (r *Relay) waitHealed(ctx context.Context, from, to Place) bool {
	for {
		r.mu.Lock()
		isCut, changed := r.isCutLocked(from, to), r.changed
		r.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Relay) isCutLocked(from, to Place) bool {
	for cut := range r.cuts {
		if cut.between(from, to) || cut.between(to, from) {
			return true
		}
	}
	return false
}

func (c cutPair) between(from, to Place) bool {
	if c.b == "" {
		return from.within(c.a) && !to.within(c.a)
	}
	return from.within(c.a) && to.within(c.b)
}
