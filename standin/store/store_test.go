package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/contract"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

const unlimited = 1e6

// startServer starts a server and returns its URL.
func startServer(t *testing.T, options Options) string {
	t.Helper()
	server := httptest.NewServer(New(options))
	t.Cleanup(server.Close)
	return server.URL
}

// TestContract runs the contract tests of the object store over HTTP, with each encoding of bodies.
func TestContract(t *testing.T) {
	for _, encoding := range []body.Encoding{body.JSON, body.CBOR} {
		t.Run(string(encoding), func(t *testing.T) { runContract(t, encoding) })
	}
}

func runContract(t *testing.T, encoding body.Encoding) {
	contract.Run(t, func(t *testing.T) contract.Harness {
		handler := New(Options{
			ReadsPerSecond:  unlimited,
			WritesPerSecond: unlimited,
			Memory:          memstore.Options{History: contract.History},
			Encoding:        encoding,
		})
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return contract.Harness{
			Store:     objectstore.New(server.URL, objectstore.Options{PollWait: contract.PollWait, Encoding: encoding}),
			SetFaults: func(f memstore.Faults) { postFaults(t, server.URL, f) },
			Memory:    handler.Memory(),
		}
	})
}

func postFaults(t *testing.T, url string, f memstore.Faults) {
	t.Helper()
	body, err := json.Marshal(FaultsMessage{
		Down:          f.Down,
		DelayMS:       f.Delay.Milliseconds(),
		LoseShare:     f.LoseResponseRate,
		LoseNext:      f.LoseNextResponses,
		DelayWritesMS: f.DelayWrites.Milliseconds(),
		WatchBroken:   f.WatchBroken,
		StaleWatch:    f.StaleWatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url+"/admin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("set faults: status %d", response.StatusCode)
	}
}

// TestRatesAreLimited checks that reads and writes above the burst and the rate are refused. Without
// these limits the stand-in would hide callers that exceed the platform's.
func TestRatesAreLimited(t *testing.T) {
	const perSecond = 40
	burst := int(perSecond * burstSeconds)
	url := startServer(t, Options{ReadsPerSecond: perSecond, WritesPerSecond: perSecond})
	s := objectstore.New(url, objectstore.Options{PollWait: time.Millisecond})
	ctx := context.Background()
	calls := map[string]func() error{
		"read": func() error {
			_, err := s.Get(ctx, "a")
			return err
		},
		"write": func() error {
			_, err := s.Put(ctx, "b", nil, 7, "w")
			return err
		},
	}
	for name, call := range calls {
		accepted := 0
		began := time.Now()
		for range 2 * burst {
			if !errors.Is(call(), objects.ErrUnavailable) {
				accepted++
			}
		}
		maximum := burst + 1 + int(perSecond*time.Since(began).Seconds())
		if accepted < burst || accepted > maximum {
			t.Errorf("%s: %d calls accepted, want %d to %d", name, accepted, burst, maximum)
		}
	}
}

// TestWaitingPollCountsOnce checks that a poll that waits counts as one call, as the platform counts it.
func TestWaitingPollCountsOnce(t *testing.T) {
	url := startServer(t, Options{})
	s := objectstore.New(url, objectstore.Options{PollWait: 50 * time.Millisecond})
	if _, err := s.Poll(context.Background(), "a", 0); err != nil {
		t.Fatal(err)
	}
	response, err := http.Get(url + "/admin/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var stats StatsMessage
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil || stats != (StatsMessage{Polls: 1}) {
		t.Errorf("stats %+v, %v", stats, err)
	}
}

// TestMalformedCalls checks the status of malformed and impossible calls.
func TestMalformedCalls(t *testing.T) {
	url := startServer(t, Options{})
	rows := []struct {
		name, method, path, body string
		want                     int
	}{
		{"write with a malformed body", "PUT", "/objects/a/b", "nonsense", http.StatusBadRequest},
		{"write without a spec", "PUT", "/objects/a/b", `{"meta":{"name":"b"}}`, http.StatusBadRequest},
		{"negative expected revision", "PUT", "/objects/a/b", `{"meta":{"rev":-1},"spec":1}`, http.StatusBadRequest},
		{"create without a name", "POST", "/objects/a", `{"spec":1}`, http.StatusBadRequest},
		{"replace a missing object", "PUT", "/objects/a/b", `{"spec":1}`, http.StatusNotFound},
		{"delete without expected revision", "DELETE", "/objects/a/b", "", http.StatusBadRequest},
		{"watch without wait-ms", "GET", "/objects/a?watch=1", "", http.StatusBadRequest},
		{"unknown path", "GET", "/v2/objects/a", "", http.StatusNotFound},
		{"unknown method", "PATCH", "/objects/a/b", "", http.StatusMethodNotAllowed},
	}
	for _, row := range rows {
		request, err := http.NewRequest(row.method, url+row.path, strings.NewReader(row.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != row.want {
			t.Errorf("%s: status %d, want %d", row.name, response.StatusCode, row.want)
		}
	}
}
