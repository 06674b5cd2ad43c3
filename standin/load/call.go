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

// call sends one request and returns how it ended and the owner that the response names.
func (g *generator) call(ctx context.Context, entry string, k Kind, key string, intended time.Time) (callResult, string) {
	request, err := g.buildRequest(ctx, entry, k, key, intended)
	if err != nil {
		return callResult{outcome: Unreachable, reason: err.Error()}, ""
	}
	response, err := g.client.Do(request)
	if err != nil {
		return callResult{outcome: Unreachable, reason: reasonOf(ctx)}, ""
	}
	defer response.Body.Close()
	complete, correct := checkResponse(response.Body, k, key)
	header := func(name string) string {
		if value := response.Header.Get(name); value != "" {
			return value
		}
		return response.Trailer.Get(name)
	}
	result := callResult{outcome: outcomeOf(response, header(headerOutcome)), reason: header(headerReason), target: header(headerTarget)}
	if result.reason == "" {
		result.reason = header(target.HeaderNotRun)
	}
	if result.outcome == Answered && !complete {
		result.outcome, result.reason = Cut, reasonOf(ctx)
	}
	if result.outcome == Answered && !correct {
		result.outcome, result.reason = Wrong, "status "+strconv.Itoa(response.StatusCode)
	}
	return result, header(headerOwner)
}

func (g *generator) buildRequest(ctx context.Context, entry string, k Kind, key string, intended time.Time) (*http.Request, error) {
	path := entry + g.plan.PathPrefix + url.PathEscape(k.Service) + "/" + url.PathEscape(key)
	if k.Subpath != "" {
		path += "/" + k.Subpath
	}
	if k.Query != "" {
		path += "?" + k.Query
	}
	request, err := http.NewRequestWithContext(ctx, k.Method, path, nil)
	if err != nil {
		return nil, err
	}
	// The node's deadline excludes the latency of the response on its way to the caller.
	left := time.Until(intended.Add(k.Deadline.Std() - g.plan.CallerDelay.Std()))
	request.Header.Set(headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(target.HeaderRequestID, ulid.Make().String())
	return request, nil
}

// reasonOf tells a request that ran into its deadline from a failed connection.
func reasonOf(ctx context.Context) string {
	if ctx.Err() != nil {
		return "caller gave up"
	}
	return "connection failed"
}

// outcomeOf returns the outcome given in a node's response or, for a target called directly,
// the outcome that its headers and status imply.
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

// checkResponse reads the whole body and returns whether it is complete and whether it is
// the response for the key.
func checkResponse(body io.Reader, k Kind, key string) (complete, correct bool) {
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

// checkContent is checkResponse for a response of size bytes from target.Content.
func checkContent(body io.Reader, size int64, key string) (complete, correct bool) {
	buffer := make([]byte, readBytes)
	var offset int64
	correct = true
	for {
		n, err := body.Read(buffer)
		correct = correct && string(buffer[:n]) == string(target.Content(key, offset, n))
		offset += int64(n)
		if err == io.EOF {
			return offset == size, correct
		}
		if err != nil {
			return false, correct
		}
	}
}
