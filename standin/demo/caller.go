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

// errOutcome reports a response whose outcome is not "answered".
var errOutcome = errors.New("request not answered")

// caller sends requests like a member's program.
type caller struct {
	http http.Client
}

// answer describes one answer, from its headers and body.
type answer struct {
	Entry  string
	Owner  string
	Target string
	Fence  string
	// AnsweredBy is the target's name in the body.
	AnsweredBy string
	Took       time.Duration
}

// targetBody is the part of a target stand-in's answer that the demonstration checks.
type targetBody struct {
	Key    string `json:"key"`
	Target string `json:"target"`
}

// send sends one request with a new id to the entry listener at entryURL. It returns errOutcome for an outcome
// other than "answered".
func (c *caller) send(method, entryURL, service, key string, deadline time.Duration) (answer, error) {
	requestURL := entryURL + "/v1/" + service + "/" + url.PathEscape(key)
	request, err := http.NewRequest(method, requestURL, nil)
	if err != nil {
		return answer{}, errors.Wrap(err, "create request")
	}
	request.Header.Set("Auburnrelay-Request-Id", ulid.Make().String())
	request.Header.Set("Auburnrelay-Send", "1")
	request.Header.Set("Auburnrelay-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	resp, err := c.http.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, errors.Wrap(err, "read the response body")
	}
	if outcome := resp.Header.Get("Auburnrelay-Outcome"); outcome != "answered" {
		return answer{}, errors.Wrapf(errOutcome, "status %d, outcome %q, reason %q",
			resp.StatusCode, outcome, resp.Header.Get("Auburnrelay-Reason"))
	}
	return parseAnswer(resp, body, key, entryURL, time.Since(began))
}

// parseAnswer parses an answer and checks that it is for the key.
func parseAnswer(resp *http.Response, body []byte, key, entryURL string, took time.Duration) (answer, error) {
	var parsed targetBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return answer{}, errors.Wrapf(err, "decode response body %q", body)
	}
	if parsed.Key != key {
		return answer{}, errors.Newf("response is for key %q, requested was %q", parsed.Key, key)
	}
	return answer{
		Entry:      entryURL,
		Owner:      resp.Header.Get("Auburnrelay-Owner"),
		Target:     resp.Header.Get("Auburnrelay-Target"),
		Fence:      resp.Header.Get("Auburnrelay-Fence"),
		AnsweredBy: parsed.Target,
		Took:       took,
	}, nil
}
