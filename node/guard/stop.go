package guard

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// Stop tells the guard that the process shuts down.
func (g *Guard) Stop(p shutdown.Period) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = p
}

// endMargin is how long after its deadline a request may still occupy the process: its call is kept open for
// deadlineMargin, and the answer is then passed on.
const endMargin = 2 * deadlineMargin

// refuseForStop returns the result and true if the end of the process may cut the request at the target.
func (g *Guard) refuseForStop(r *relay.Request) (relay.Result, bool) {
	g.mu.Lock()
	stop := g.stop
	g.mu.Unlock()
	now := time.Now()
	if stop.MaySend(now, r.Deadline.Add(endMargin)) {
		return relay.Result{}, false
	}
	result := relay.NotRun(outcome.ReasonStopping)
	result.Detail = fmt.Sprintf("%v left for the request, %v until the process ends", r.Deadline.Sub(now), stop.End.Sub(now))
	return result, true
}
