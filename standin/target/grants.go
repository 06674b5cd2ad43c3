package target

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

// GrantMessage grants one slice to the target until UntilBootMS on the machine's boot-time
// clock, in milliseconds. The expiry is absolute, so a message that is read late does not
// extend the grant.
type GrantMessage struct {
	Slice       string `json:"slice"`
	Fence       string `json:"fence"`
	UntilBootMS int64  `json:"until_boot_ms"`
}

// GrantsMessage is the body of PUT /v1/grants.
type GrantsMessage struct {
	Grants []GrantMessage `json:"grants"`
	Revoke []string       `json:"revoke"`
}

// RefusedMessage lists the slices whose grants were refused because their fence was lower
// than one already seen.
type RefusedMessage struct {
	Refused []string `json:"refused"`
}

// grant is the grant state of one slice.
type grant struct {
	// highest is the highest fence ever seen for the slice.
	highest fence.Fence
	// from is the fence of the first grant in the current unbroken run of grants. No other
	// target can have held the slice since, so work started under it may still commit.
	from fence.Fence
	// until is the expiry of the grant on the boot-time clock; zero after a revocation.
	until time.Duration
}

// grantTable holds the grant state of each slice.
type grantTable struct {
	mu     sync.Mutex
	slices map[string]grant
}

func newGrantTable() *grantTable {
	return &grantTable{slices: make(map[string]grant)}
}

// take stores the grant and reports whether it did; it refuses a fence lower than one
// already seen.
func (g *grantTable) take(slice string, f fence.Fence, until time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.slices[slice]
	if f.Less(known.highest) {
		return false
	}
	next := grant{highest: f, from: known.from, until: until}
	if execlog.BootTime() >= known.until {
		next.from = f
	}
	g.slices[slice] = next
	return true
}

func (g *grantTable) revoke(slice string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.slices[slice]
	known.until = 0
	g.slices[slice] = known
}

// check returns the reason to refuse work under the fence, or "" if it may run.
func (g *grantTable) check(slice string, f fence.Fence) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.slices[slice]
	switch {
	case f.Less(known.highest):
		return ReasonFence
	case known.highest.Less(f), execlog.BootTime() >= known.until:
		return ReasonLapsed
	default:
		return ""
	}
}

// mayFinish reports whether work started under the fence may commit now.
func (g *grantTable) mayFinish(slice string, f fence.Fence) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.slices[slice]
	return !f.Less(known.from) && execlog.BootTime() < known.until
}

func (t *Target) putGrants(c echo.Context) error {
	var m GrantsMessage
	if err := c.Bind(&m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	refused := RefusedMessage{Refused: []string{}}
	for _, g := range m.Grants {
		f, err := fence.Parse(g.Fence)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		until := time.Duration(g.UntilBootMS) * time.Millisecond
		if !t.grants.take(g.Slice, f, until) {
			refused.Refused = append(refused.Refused, g.Slice)
		}
	}
	for _, slice := range m.Revoke {
		t.grants.revoke(slice)
	}
	if t.config.CheckFences && len(refused.Refused) > 0 {
		return c.JSON(http.StatusConflict, refused)
	}
	return c.JSON(http.StatusOK, refused)
}
