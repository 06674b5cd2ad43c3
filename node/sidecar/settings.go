package sidecar

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnrelay/auburnrelay/platform/body"
)

// ErrSettings reports settings that are invalid.
var ErrSettings = errors.New("invalid settings")

// Settings is the content of the settings file of a node beside a target. Unknown fields are
// ignored.
type Settings struct {
	Node struct {
		// Name is the name of the VM.
		Name          string `toml:"name" validate:"required"`
		Region        string `toml:"region" validate:"required"`
		FailureDomain string `toml:"failure_domain" validate:"required"`
		// Service is the service of the target on this VM.
		Service string `toml:"service" validate:"required"`
		// MemoryMB is the memory that the process may use, in MiB.
		MemoryMB int64 `toml:"memory_mb" validate:"gt=0"`
		// MaxFDs is the number of descriptors that the process may open; 4096 by default.
		MaxFDs int `toml:"max_fds" validate:"gte=256"`
	} `toml:"node"`
	Listen struct {
		// Callers serves requests of callers and of the target on this VM.
		Callers string `toml:"callers" validate:"required,hostname_port"`
		// Peers serves requests of other nodes.
		Peers string `toml:"peers" validate:"required,hostname_port"`
		// Target serves heartbeats of the target on this VM.
		Target string `toml:"target" validate:"required,hostname_port"`
		// Ready serves readiness checks.
		Ready string `toml:"ready" validate:"required,hostname_port"`
		// Admin serves metrics and the node's state.
		Admin string `toml:"admin" validate:"required,hostname_port"`
	} `toml:"listen"`
	Store struct {
		URL string `toml:"url" validate:"required,http_url"`
		// Encoding is the encoding of messages of the store and the target; json by default.
		Encoding body.Encoding `toml:"encoding" validate:"omitempty,oneof=json cbor"`
		// RenewSharedSeconds is the interval of renewals of a node whose target belongs to a shared service and so
		// holds no keys; by default that of the other nodes.
		RenewSharedSeconds Seconds `toml:"renew_shared_seconds" validate:"gte=0,lte=5"`
	} `toml:"store"`
	Target struct {
		// Address is the address of the target on this VM; heartbeats that name another one are ignored. If it
		// is empty, any address is accepted.
		Address string `toml:"address" validate:"omitempty,hostname_port"`
		// HeartbeatSeconds is the approximate interval between heartbeats of the target.
		HeartbeatSeconds Seconds `toml:"heartbeat_seconds" validate:"gt=0"`
	} `toml:"target"`
	Load struct {
		// AskTargets is the number of nodes that are asked for the load of their targets before a request of a shared
		// service is sent; zero, the default, asks none.
		AskTargets int `toml:"ask_targets" validate:"gte=0,lte=4"`
	} `toml:"load"`
	Hedge struct {
		// MaxShare is the largest share of a service's requests that may be sent a second time because of a slow answer;
		// zero, the default, sends none.
		MaxShare float64 `toml:"max_share" validate:"gte=0,lte=0.1"`
	} `toml:"hedge"`
	// Limits bounds what clients can take of the node's memory and connections. Limits of zero are derived from
	// Node.MemoryMB and Node.MaxFDs.
	Limits struct {
		// HeldMB is the memory that may be held for requests and answers of all clients, in MiB.
		HeldMB int64 `toml:"held_mb" validate:"gte=0"`
		// ConnectionKB is the memory up to which pipelined requests of one connection are read, in KiB.
		ConnectionKB int64 `toml:"connection_kb" validate:"gte=0"`
		// HeaderFields is the largest number of header fields of a request; 16384 by default, as many as fit into the
		// largest head.
		HeaderFields int `toml:"header_fields" validate:"gte=32"`
		// CallerConnections and PeerConnections are the connections accepted from callers and from other nodes, and
		// OutgoingConnections those opened to other nodes.
		CallerConnections   int `toml:"caller_connections" validate:"gte=0"`
		PeerConnections     int `toml:"peer_connections" validate:"gte=0"`
		OutgoingConnections int `toml:"outgoing_connections" validate:"gte=0"`
		// BytesPerSecond is the pace that request bodies must keep and at which answers must be read; 4000 by default,
		// a fifth of the slowest legal client's.
		BytesPerSecond int64 `toml:"bytes_per_second" validate:"gte=1,lte=20000"`
	} `toml:"limits"`
	Log struct {
		// Level is the lowest level that is logged; info by default.
		Level string `toml:"level" validate:"omitempty,oneof=debug info warn error"`
	} `toml:"log"`
	// Bounds holds the limits that the platform's rules set for a node.
	Bounds struct {
		// DrainSeconds is how long requests may still reach a leaving target after its leave was
		// acknowledged.
		DrainSeconds Seconds `toml:"drain_seconds" validate:"gte=0"`
		// StopSeconds is the time between SIGTERM and SIGKILL.
		StopSeconds Seconds `toml:"stop_seconds" validate:"gt=0"`
		// ConfigApplySeconds is the time after its acknowledgement within which a configuration must be in force;
		// 2 by default.
		ConfigApplySeconds Seconds `toml:"config_apply_seconds" validate:"gte=1"`
		// HoldMaxSeconds is the longest grant of keys that a target accepts.
		HoldMaxSeconds Seconds `toml:"hold_max_seconds" validate:"gt=0"`
		// RetryRatio and RetrySlack bound the sends beyond the first of a service's requests
		// within the window, over all nodes: the ratio times the requests, plus the slack.
		RetryRatio         float64 `toml:"retry_ratio" validate:"gte=0,lte=1"`
		RetrySlack         float64 `toml:"retry_slack" validate:"gte=0"`
		RetryWindowSeconds Seconds `toml:"retry_window_seconds" validate:"gt=0"`
		// ColdFactor and ColdSlack bound the requests that a cold target may be sent in any one second: the cold
		// rate of its service times the factor, plus the slack. The defaults are 1 and 0.
		ColdFactor float64 `toml:"cold_factor" validate:"gte=1,lte=10"`
		ColdSlack  float64 `toml:"cold_slack" validate:"gte=0"`
		// EvacuateSeconds is the time after its acknowledgement from which an evacuated failure domain gets no more
		// requests. Evacuations are not watched if it is zero, the default.
		EvacuateSeconds Seconds `toml:"evacuate_seconds" validate:"gte=0,lte=3600"`
	} `toml:"bounds"`
}

// LoadSettings reads and validates a settings file. A syntax error or the first value of a wrong
// type is reported with its line; otherwise the error lists all invalid fields. It matches
// ErrSettings unless the file could not be read.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// defaultConfigApply is the default of Bounds.ConfigApplySeconds, the time of the small deployments.
const defaultConfigApply Seconds = 2

// defaultMaxFDs is the default of Node.MaxFDs, about the descriptors of the smallest VMs.
const defaultMaxFDs = 4096

const (
	// defaultHeaderFields is the number of the shortest fields that fit into a head of maxHeaderBytes.
	defaultHeaderFields = maxHeaderBytes / 4
	// defaultBytesPerSecond is the default of Limits.BytesPerSecond.
	defaultBytesPerSecond = 4000
)

// ParseSettings is LoadSettings for the content of a file.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	s.Bounds.ConfigApplySeconds, s.Bounds.ColdFactor = defaultConfigApply, 1
	s.Node.MaxFDs = defaultMaxFDs
	s.Limits.HeaderFields, s.Limits.BytesPerSecond = defaultHeaderFields, defaultBytesPerSecond
	if err := toml.Unmarshal(data, s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, errors.Wrapf(ErrSettings, "line %d: %v", row, err)
		}
		return nil, errors.Wrapf(ErrSettings, "%v", err)
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil {
		return nil, validationError(err)
	}
	return s, nil
}

// validationError returns an ErrSettings that lists the fields rejected by the validator.
func validationError(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.Wrapf(ErrSettings, "%v", err)
	}
	var lines []string
	for _, f := range fields {
		lines = append(lines, fmt.Sprintf("%s: value '%v' violates rule %q", f.Namespace(), f.Value(), strings.TrimSpace(f.Tag()+" "+f.Param())))
	}
	return errors.Wrap(ErrSettings, strings.Join(lines, "; "))
}

// Seconds is a duration in seconds, possibly fractional.
type Seconds float64

// Duration converts the seconds to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
