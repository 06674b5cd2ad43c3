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
	// firstFence is the fence of the first grant in the current unbroken run of grants. No
	// other target can have held the slice since, so work started under it may still commit.
	firstFence fence.Fence
	// expiry is the expiry of the grant on the boot-time clock; zero after a revocation.
	expiry time.Duration
}

// grantTable holds the grant state of each slice.
type grantTable struct {
	mu     sync.Mutex
	slices map[string]grant
}

func newGrantTable() *grantTable {
	return &grantTable{slices: make(map[string]grant)}
}

// accept stores the grant and reports whether it did so; it refuses a fence lower than one
// already seen.
func (g *grantTable) accept(slice string, f fence.Fence, expiry time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.slices[slice]
	if f.Less(current.highest) {
		return false
	}
	next := grant{highest: f, firstFence: current.firstFence, expiry: expiry}
	if execlog.BootTime() >= current.expiry {
		next.firstFence = f
	}
	g.slices[slice] = next
	return true
}

// revoke ends the grant of the slice; its highest fence is kept.
func (g *grantTable) revoke(slice string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.slices[slice]
	current.expiry = 0
	g.slices[slice] = current
}

// check returns the reason to refuse work under the fence, or "" if it may run.
func (g *grantTable) check(slice string, f fence.Fence) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.slices[slice]
	switch {
	case f.Less(current.highest):
		return ReasonFence
	case current.highest.Less(f), execlog.BootTime() >= current.expiry:
		return ReasonLapsed
	default:
		return ""
	}
}

// mayCommit reports whether work started under the fence may commit now.
func (g *grantTable) mayCommit(slice string, f fence.Fence) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.slices[slice]
	return !f.Less(current.firstFence) && execlog.BootTime() < current.expiry
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
		expiry := time.Duration(g.UntilBootMS) * time.Millisecond
		if !t.grants.accept(g.Slice, f, expiry) {
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
