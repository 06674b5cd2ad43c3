package link

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// CutMessage names two places, each a region or a failure domain. An empty B stands for every place
// outside A.
type CutMessage struct {
	A string `json:"a"`
	B string `json:"b"`
}

// LaneMessage holds the number of bytes sent from one region to another.
type LaneMessage struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
}

// StatsMessage holds the counters of the relay and the cuts in effect.
type StatsMessage struct {
	Lanes []LaneMessage `json:"lanes"`
	Cuts  []CutMessage  `json:"cuts"`
}

// Handler returns the admin interface: POST /admin/cut and /admin/heal with a CutMessage, where an empty
// message heals all cuts, and GET /admin/stats, which returns a StatsMessage.
func (r *Relay) Handler() http.Handler {
	e := echo.New()
	e.POST("/admin/cut", func(c echo.Context) error { return r.handleChange(c, r.Cut) })
	e.POST("/admin/heal", func(c echo.Context) error { return r.handleChange(c, r.Heal) })
	e.GET("/admin/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, r.Stats()) })
	return e
}

func (r *Relay) handleChange(c echo.Context, apply func(a, b string)) error {
	var m CutMessage
	if err := c.Bind(&m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	apply(m.A, m.B)
	return c.NoContent(http.StatusNoContent)
}

// Cut stops all traffic between the places, also of new connections, until Heal. An empty b stands for
// every place outside a.
func (r *Relay) Cut(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[cutPair{a, b}] = true
	r.notifyLocked()
}

// Heal ends a cut, or all cuts if both names are empty. The order of the names does not matter.
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

// notifyLocked wakes those that wait for a change of the cuts. The caller holds mu.
func (r *Relay) notifyLocked() {
	close(r.cutsChanged)
	r.cutsChanged = make(chan struct{})
}

// Stats returns the bytes sent between regions and the cuts in effect.
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

// waitHealed waits until no cut separates the places. It returns false if the context is cancelled first.
func (r *Relay) waitHealed(ctx context.Context, from, to Place) bool {
	for {
		r.mu.Lock()
		isCut, cutsChanged := r.isCutLocked(from, to), r.cutsChanged
		r.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-cutsChanged:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Relay) isCutLocked(from, to Place) bool {
	for cut := range r.cuts {
		if cut.separates(from, to) || cut.separates(to, from) {
			return true
		}
	}
	return false
}

// separates reports whether the cut stops traffic in this direction.
func (c cutPair) separates(from, to Place) bool {
	if c.b == "" {
		return from.matches(c.a) && !to.matches(c.a)
	}
	return from.matches(c.a) && to.matches(c.b)
}
