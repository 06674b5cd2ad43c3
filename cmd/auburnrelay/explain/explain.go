// Package explain reconstructs the course of one request from the logs of several nodes: the log
// lines of the request in order of time, and related events on the nodes involved.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Events from eventsBefore a request to eventsAfter it are related to it. The times cover a
	// lease, the longest time between a loss and its effect on a request, and a heartbeat.
	eventsBefore = 5 * time.Second
	eventsAfter  = 2 * time.Second
	// maxEvents is the maximum number of events shown.
	maxEvents = 40
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// ErrNotFound reports that no log line has the request's id.
var ErrNotFound = errors.New("no log line has the request id")

// Line is a line of a node's JSON log.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Part    string    `json:"part"`
	ID      string    `json:"id"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Target  string    `json:"target"`
	Service string    `json:"service"`
	Peer    string    `json:"peer"`
	// Text is the complete JSON object of the line.
	Text json.RawMessage `json:"-"`
}

// Explanation is the course of one request according to the logs.
type Explanation struct {
	ID string `json:"id"`
	// Steps are the lines with the request's id, in order of time.
	Steps []Line `json:"-"`
	// Events are lines about the targets, services and nodes of the request that are close to it
	// in time, at most maxEvents; LeftOut is the number of further ones.
	Events  []Line `json:"-"`
	LeftOut int    `json:"events_left_out"`
	// Outcome and Reason are those that the caller's node logged or, without that line, those of
	// the first step that has an outcome.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Cause explains the reason in a sentence.
	Cause string `json:"cause"`
}

// causes explains each reason and names related log messages.
var causes = map[string]string{
	"shed":               "no slot of the target was expected to become free, or became free, early enough for the answer to be useful; look for the target's load in 'table written' with reason 'moved'",
	"overloaded":         "all targets that were asked would have refused the request because of their queues, and no better one was known; it was not sent",
	"target-unhealthy":   "the target refuses or fails most requests although it has free slots, and is sent trial requests only; look for 'health of the target changed'",
	"target-shed":        "the target itself refused the request without running it",
	"moving":             "the key's slice was being moved to another target; see 'table written' and 'released'",
	"no-owner":           "no live target owned the key; see 'lease revoked', 'target left' and the next 'assigned'",
	"not-owner":          "the node asked did not own the key by its version of the table; compare 'table read' on both nodes",
	"lease-lapsed":       "the owner's lease had ended; see 'lease not renewed', 'lease extension' and 'dependency lost' of the store",
	"fence":              "the target held another grant, or none, for the key",
	"target-absent":      "the node had no live target of the service; see 'target left' and 'dependency lost'",
	"target-draining":    "the target had announced that it was leaving",
	"target-unreachable": "no connection to the target could be opened",
	"target-lost":        "the connection to the target broke while it may have run the request",
	"truncated":          "the target's answer broke off",
	"crossed-answer":     "the target's answer belonged to another request or had no signature",
	"malformed-answer":   "the target's answer had a status or a head that HTTP does not allow",
	"home":               "nothing in the home regions of the route could serve the request: the key's owner is in another region, or no target there was ready; see 'table written' and 'target left'",
	"evacuated":          "the target's failure domain is evacuated and its keys have not moved yet; see 'evacuation began' and 'table written'",
	"peer-unreachable":   "no connection to the target's node could be opened; see 'lease revoked' and 'node restarted' of that node",
	"peer-lost":          "the connection to the target's node broke while the request was with it",
	"peer-identity":      "another node answered at the address; see 'node replaced'",
	"deadline":           "the deadline of the caller or of the route passed before an answer",
	"cancelled":          "the caller cancelled the request or disconnected",
	"quarantined":        "similar requests had crashed targets; see 'request suspected'",
	"retry-budget":       "the retry budget did not allow the request to be sent again",
}

// Read parses the lines of a JSON log. It skips text before the first brace of a line, such as the
// prefix of a log collector, and lines that hold no JSON object with a message.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Message == "" {
			continue
		}
		l.Text = bytes.Clone(text[start:])
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// Request returns the course of the request with the id. It returns ErrNotFound if no line has the
// id.
func Request(id string, lines []Line) (*Explanation, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	e := &Explanation{ID: id}
	for _, l := range lines {
		if l.ID == id {
			e.Steps = append(e.Steps, l)
		}
	}
	if len(e.Steps) == 0 {
		return nil, errors.Wrapf(ErrNotFound, "%q", id)
	}
	e.setOutcome()
	e.collectEvents(lines)
	return e, nil
}

// setOutcome sets the outcome, the reason and the cause. The outcome in "request ended", the line
// of the caller's node, takes precedence over that of other steps.
func (e *Explanation) setOutcome() {
	for _, l := range e.Steps {
		if l.Outcome != "" && (l.Message == "request ended" || e.Outcome == "") {
			e.Outcome, e.Reason = l.Outcome, l.Reason
		}
	}
	switch {
	case e.Outcome == "answered":
		e.Cause = "the target answered; its status is in the line of the caller's node"
	case causes[e.Reason] != "":
		e.Cause = causes[e.Reason]
	default:
		e.Cause = e.Steps[len(e.Steps)-1].Message + ": " + e.Reason
	}
}

// collectEvents collects the events that are related to the targets, services and nodes of the
// steps.
func (e *Explanation) collectEvents(lines []Line) {
	names := make(map[string]bool)
	for _, l := range e.Steps {
		for _, name := range []string{l.Target, l.Service, l.Node} {
			names[name] = true
		}
	}
	// The node that logged "target found" is the one beside the target.
	for _, l := range lines {
		if l.Message == "target found" && names[l.Target] {
			names[l.Node] = true
		}
	}
	delete(names, "")
	start, end := e.Steps[0].Time.Add(-eventsBefore), e.Steps[len(e.Steps)-1].Time.Add(eventsAfter)
	for _, l := range lines {
		if l.ID != "" || l.Time.Before(start) || l.Time.After(end) || !isRelated(l, names) {
			continue
		}
		if len(e.Events) == maxEvents {
			e.LeftOut++
			continue
		}
		e.Events = append(e.Events, l)
	}
}

// routineMessages lists messages that are too frequent on every node to be of use.
var routineMessages = []string{"vote", "table read", "node found", "nodes found at the start"}

// isRelated reports whether an event was logged by one of the names or mentions one as its target
// or peer.
func isRelated(l Line, names map[string]bool) bool {
	if slices.Contains(routineMessages, l.Message) {
		return false
	}
	return names[l.Node] || names[l.Target] || names[l.Peer]
}
