package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/standin/target"
)

const (
	headerOutcome  = "Auburnrelay-Outcome"
	headerReason   = "Auburnrelay-Reason"
	headerOwner    = "Auburnrelay-Owner"
	headerTarget   = "Auburnrelay-Target"
	headerDeadline = "Auburnrelay-Deadline-Ms"

	readBytes = 64 << 10
)

// call sends one request and returns how it ended and the owner that the answer names.
func (g *generator) call(ctx context.Context, entry string, k Kind, key string, intended time.Time) (end, string) {
	request, err := g.build(ctx, entry, k, key, intended)
	if err != nil {
		return end{outcome: Unreachable, reason: err.Error()}, ""
	}
	response, err := g.client.Do(request)
	if err != nil {
		return end{outcome: Unreachable, reason: reasonOf(ctx)}, ""
	}
	defer response.Body.Close()
	whole, right := check(response.Body, k, key)
	header := func(name string) string {
		if value := response.Header.Get(name); value != "" {
			return value
		}
		return response.Trailer.Get(name)
	}
	e := end{outcome: outcomeOf(response, header(headerOutcome)), reason: header(headerReason), target: header(headerTarget)}
	if e.reason == "" {
		e.reason = header(target.HeaderNotRun)
	}
	if e.outcome == Answered && !whole {
		e.outcome, e.reason = Cut, reasonOf(ctx)
	}
	if e.outcome == Answered && !right {
		e.outcome, e.reason = Wrong, "status "+strconv.Itoa(response.StatusCode)
	}
	return e, header(headerOwner)
}

func (g *generator) build(ctx context.Context, entry string, k Kind, key string, intended time.Time) (*http.Request, error) {
	path := entry + g.plan.PathPrefix + url.PathEscape(k.Service) + "/" + url.PathEscape(key)
	if k.Rest != "" {
		path += "/" + k.Rest
	}
	if k.Query != "" {
		path += "?" + k.Query
	}
	request, err := http.NewRequestWithContext(ctx, k.Method, path, nil)
	if err != nil {
		return nil, err
	}
	// The time that the answer takes back to the caller is no longer the node's.
	left := time.Until(intended.Add(k.Deadline.Std() - g.plan.CallerDelay.Std()))
	request.Header.Set(headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(target.HeaderRequestID, ulid.Make().String())
	return request, nil
}

func reasonOf(ctx context.Context) string {
	if ctx.Err() != nil {
		return "caller gave up"
	}
	return "connection failed"
}

// outcomeOf reads the outcome of a node's answer, or what the status of a target called
// directly stands for.
func outcomeOf(response *http.Response, outcome string) Outcome {
	switch outcome {
	case "answered":
		return Answered
	case "not-run":
		return NotRun
	case "unknown":
		return Unknown
	}
	switch {
	case response.Header.Get(target.HeaderNotRun) != "":
		return NotRun
	case response.StatusCode == http.StatusOK:
		return Answered
	default:
		return Unknown
	}
}

// check reads the body to its end; it returns whether it is whole and is the answer for the
// key.
func check(body io.Reader, k Kind, key string) (whole, right bool) {
	if k.Bytes > 0 {
		return checkContent(body, k.Bytes, key)
	}
	content, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return false, false
	}
	var answer target.AnswerMessage
	err = json.Unmarshal(content, &answer)
	return true, err == nil && answer.Key == key && answer.Service == k.Service
}

func checkContent(body io.Reader, size int64, key string) (whole, right bool) {
	buffer := make([]byte, readBytes)
	var offset int64
	right = true
	for {
		n, err := body.Read(buffer)
		right = right && string(buffer[:n]) == string(target.Content(key, offset, n))
		offset += int64(n)
		if err == io.EOF {
			return offset == size, right
		}
		if err != nil {
			return false, right
		}
	}
}
