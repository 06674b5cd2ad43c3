package settings

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/cell"
)

// Defaults returns the default settings. Names, addresses and the store's URL have no
// default.
func Defaults() *Settings {
	return &Settings{
		Store:  defaultStore(),
		Target: defaultTarget(),
		Timing: defaultTiming(),
		Load:   defaultLoad(),
		Account: Account{
			ReportInterval:  Duration(10 * time.Second),
			SegmentInterval: Duration(time.Minute),
			Silence:         Duration(5 * time.Minute),
		},
		Log:    Log{Format: "text", Level: "info", DecisionSample: 1000},
		Limits: defaultLimits(),
	}
}

func defaultStore() Store {
	return Store{
		RequestTimeout: Duration(500 * time.Millisecond),
		WatchWait:      Duration(5 * time.Second),
		CallsPerSecond: 10,
		CallBurst:      60,
	}
}

func defaultTarget() Target {
	return Target{
		MaxConnections:  16,
		ProbeInterval:   Duration(250 * time.Millisecond),
		ProbeTimeout:    Duration(500 * time.Millisecond),
		AnnounceTimeout: Duration(3 * time.Second),
	}
}

func defaultTiming() Timing {
	protocol := cell.DefaultTiming()
	return Timing{
		Lease:         Duration(protocol.Lease),
		Promise:       Duration(protocol.Promise),
		Tick:          Duration(protocol.HeartbeatInterval),
		Ask:           Duration(protocol.PromiseInterval),
		DrainTimeout:  Duration(10 * time.Minute),
		DriftPerMille: protocol.DriftPerMille,
	}
}

func defaultLoad() LoadPolicy {
	return LoadPolicy{
		Discipline:      DisciplineProtected,
		ShortReserved:   0.67,
		LongWork:        Duration(20 * time.Millisecond),
		QueueDelay:      Duration(4 * time.Millisecond),
		KeyShare:        0.5,
		RetryShare:      0.1,
		WarmUp:          Duration(3 * time.Second),
		RegionLinkMbits: 18,
	}
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:       8 << 20,
		HeaderBytes:     16 << 10,
		KeyBytes:        256,
		QueueLength:     256,
		PeerConnections: 64,
		MaxDeadline:     Duration(10 * time.Minute),
	}
}
