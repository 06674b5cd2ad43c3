package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Health is a target's answer to a probe.
type Health struct {
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
}

// errProbeStatus reports a probe that was answered with a status other than 200.
var errProbeStatus = errors.New("unexpected HTTP status in answer to a probe")

// Run probes the target until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Close()
			return nil
		case <-ticker.C:
			l.probe(ctx)
		case <-l.probeNow:
			l.probe(ctx)
		}
	}
}

func (l *Link) probe(ctx context.Context) {
	info := l.Info()
	if info.Address == "" {
		return
	}
	health, err := l.fetchHealth(ctx, info.Address)
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		l.applyHealth(info.Incarnation, health)
	case errors.Is(err, syscall.ECONNREFUSED):
		l.recordGone(info.Incarnation, "probe refused: nothing listens at the target's address")
	default:
		l.recordFailedProbe(info.Incarnation)
	}
}

func (l *Link) fetchHealth(ctx context.Context, address string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ProbeTimeout)
	defer cancel()
	var health Health
	err := l.controlCall(ctx, http.MethodGet, "http://"+address+"/health", nil, func(resp *http.Response) error {
		if resp.StatusCode != http.StatusOK {
			return errors.Wrapf(errProbeStatus, "status %d", resp.StatusCode)
		}
		return json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&health)
	})
	return health, err
}

// applyHealth applies the answer to a probe; probed is the incarnation that was known when the
// probe was sent.
func (l *Link) applyHealth(probed uint64, health Health) {
	if health.Incarnation != probed {
		l.recordGone(probed, "probe answered by another incarnation")
		return
	}
	state, known := parseState(health.State)
	if !known {
		l.recordFailedProbe(probed)
		return
	}
	l.update("probe", func(info *Info) []Event {
		if info.Incarnation != probed {
			return nil
		}
		l.failedProbes = 0
		if info.State == state {
			return nil
		}
		info.State = state
		if state != plane.TargetReady {
			return []Event{{Kind: EventChanged, Incarnation: probed, State: state}}
		}
		info.ReadySince = l.cfg.Clock()
		return []Event{{Kind: EventReady, Incarnation: probed, State: state}}
	})
}

// recordGone records that the target process with the incarnation has ended.
func (l *Link) recordGone(incarnation uint64, reason string) {
	l.update(reason, func(info *Info) []Event {
		if info.Incarnation != incarnation || incarnation == 0 {
			return nil
		}
		l.retire(incarnation)
		l.failedProbes = 0
		*info = Info{Name: info.Name}
		return []Event{{Kind: EventGone, Incarnation: incarnation}}
	})
}

// recordFailedProbe counts a failed probe. A target that has answered a call within the probe
// timeout is not suspected, even if its probes fail.
func (l *Link) recordFailedProbe(incarnation uint64) {
	sinceAnswer := l.cfg.Clock() - time.Duration(l.lastAnswerAt.Load())
	if l.lastAnswerAt.Load() != 0 && sinceAnswer < l.cfg.ProbeTimeout {
		return
	}
	l.update("probes failed", func(info *Info) []Event {
		if info.Incarnation != incarnation {
			return nil
		}
		l.failedProbes++
		if l.failedProbes < l.cfg.SuspectAfter || info.State == plane.TargetSuspect {
			return nil
		}
		info.State = plane.TargetSuspect
		return []Event{{Kind: EventChanged, Incarnation: incarnation, State: info.State}}
	})
}

func parseState(text string) (plane.TargetState, bool) {
	switch text {
	case "starting":
		return plane.TargetStarting, true
	case "ready":
		return plane.TargetReady, true
	case "draining":
		return plane.TargetDraining, true
	default:
		return plane.TargetAbsent, false
	}
}

func stateName(state plane.TargetState) string {
	switch state {
	case plane.TargetStarting:
		return "starting"
	case plane.TargetReady:
		return "ready"
	case plane.TargetDraining:
		return "draining"
	case plane.TargetSuspect:
		return "suspect"
	default:
		return "absent"
	}
}
