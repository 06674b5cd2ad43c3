package demo

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// errOutcome reports a request that was not answered.
var errOutcome = errors.New("not answered")

// caller sends requests as a member's program does.
type caller struct {
	http http.Client
}

// served is what the caller learned from one answer.
type served struct {
	Entry  string
	Owner  string
	Target string
	Fence  string
	// AnsweredBy is the name that the target wrote into the body.
	AnsweredBy string
	Took       time.Duration
}

// targetBody is the part of a target stand-in's answer that the demonstration checks.
type targetBody struct {
	Key    string `json:"key"`
	Target string `json:"target"`
}

// do sends one request with a fresh id through the entry at entryURL.
func (c *caller) do(method, entryURL, service, key string, deadline time.Duration) (served, error) {
	target := entryURL + "/v1/" + service + "/" + url.PathEscape(key)
	request, err := http.NewRequest(method, target, nil)
	if err != nil {
		return served{}, errors.Wrap(err, "request")
	}
	request.Header.Set("Auburnrelay-Request-Id", ulid.Make().String())
	request.Header.Set("Auburnrelay-Send", "1")
	request.Header.Set("Auburnrelay-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	resp, err := c.http.Do(request)
	if err != nil {
		return served{}, errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return served{}, errors.Wrap(err, "read the answer")
	}
	if outcome := resp.Header.Get("Auburnrelay-Outcome"); outcome != "answered" {
		return served{}, errors.Wrapf(errOutcome, "%d %s: %s", resp.StatusCode, outcome, resp.Header.Get("Auburnrelay-Reason"))
	}
	return readServed(resp, body, key, entryURL, time.Since(began))
}

func readServed(resp *http.Response, body []byte, key, entryURL string, took time.Duration) (served, error) {
	var parsed targetBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return served{}, errors.Wrapf(err, "answer %q", body)
	}
	if parsed.Key != key {
		return served{}, errors.Newf("answer for key %q came to the caller of %q", parsed.Key, key)
	}
	return served{
		Entry:      entryURL,
		Owner:      resp.Header.Get("Auburnrelay-Owner"),
		Target:     resp.Header.Get("Auburnrelay-Target"),
		Fence:      resp.Header.Get("Auburnrelay-Fence"),
		AnsweredBy: parsed.Target,
		Took:       took,
	}, nil
}
