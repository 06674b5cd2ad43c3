package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

const testDeadline = 5 * time.Second

// testTarget is a target behind an HTTP test server, with its execution log in out.
type testTarget struct {
	*Target
	url string
	out *bytes.Buffer
}

func startTarget(t *testing.T, config Config) *testTarget {
	t.Helper()
	out := &bytes.Buffer{}
	config.Name = "t1"
	config.Log = execlog.NewWriter(out)
	target := New(config)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	return &testTarget{Target: target, url: server.URL, out: out}
}

// call sends a request with headers given as "Name: value" and returns the status, the
// reason of a refusal and the body.
func (f *testTarget) call(t *testing.T, method, path, body string, headers ...string) (int, string, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "", err.Error()
	}
	return response.StatusCode, response.Header.Get(HeaderNotRun), string(content)
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testDeadline); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", testDeadline, description)
		}
	}
}

// TestWorkIsAnsweredAndLogged sends work whose key contains an escaped slash and space. Response and log must
// have the unescaped key; the checks of the logs compare keys.
func TestWorkIsAnsweredAndLogged(t *testing.T) {
	f := startTarget(t, Config{ServiceTimes: map[string]time.Duration{"": time.Millisecond}})
	status, _, body := f.call(t, "POST", "/work/booking/Debrecen%2Fbay%201/pay?x=1", "{}",
		"Auburnrelay-Request-Id: id1", "Auburnrelay-Attempt: 1", "Auburnrelay-Slice: a/1", "Auburnrelay-Fence: 2.3")
	var answer AnswerMessage
	if err := json.Unmarshal([]byte(body), &answer); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, body %q: %v", status, body, err)
	}
	want := AnswerMessage{
		Service: "booking", Key: "Debrecen/bay 1", Target: "t1", Fence: "2.3", Execution: 1, RequestID: "id1", Method: "POST",
	}
	if answer != want {
		t.Errorf("got %+v", answer)
	}
	eventually(t, "the end is logged", func() bool { return len(f.log.After(0)) == 2 })
	entries, err := execlog.Read(f.out)
	if err != nil || len(entries) != 2 {
		t.Fatalf("log: %v, %v", entries, err)
	}
	first, last := entries[0], entries[1]
	if first.Phase != execlog.Start || last.Phase != execlog.End || last.Outcome != execlog.Done {
		t.Errorf("phases: %+v, %+v", first, last)
	}
	if first.Key != want.Key || first.Fence != "2.3" || first.Subpath != "pay" || last.Boot <= first.Boot {
		t.Errorf("entries: %+v, %+v", first, last)
	}
	if _, _, lines := f.call(t, "GET", "/v1/executions?after=1", ""); strings.Count(lines, "\n") != 1 {
		t.Errorf("executions after the first: %q", lines)
	}
}

// grantsBody returns a request body that grants slice a/1 for the remaining time.
func grantsBody(f string, remaining time.Duration) string {
	until := execlog.BootTime() + remaining
	return fmt.Sprintf(`{"grants":[{"slice":"a/1","fence":%q,"until_boot_ms":%d}]}`, f, until.Milliseconds())
}

// TestFenceChecks checks that a target that checks fences runs work only under the fence of a valid grant, and
// never accepts a lower fence again. Otherwise an owner that lost its slice could still have work run.
func TestFenceChecks(t *testing.T) {
	grant := func(f string, remainingMS int) string {
		return grantsBody(f, time.Duration(remainingMS)*time.Millisecond)
	}
	cases := []struct {
		name   string
		checks bool
		grants []string
		status int
		fence  string
		want   string
	}{
		{"granted", true, []string{grant("2.1", 60000)}, 200, "2.1", ""},
		{"no grant", true, nil, 0, "2.1", "lapsed"},
		{"lower fence than granted", true, []string{grant("2.1", 60000)}, 200, "1.9", "fence"},
		{"higher fence than granted", true, []string{grant("2.1", 60000)}, 200, "2.2", "lapsed"},
		{"lapsed", true, []string{grant("2.1", 0)}, 200, "2.1", "lapsed"},
		{"renewed", true, []string{grant("2.1", 0), grant("2.1", 60000)}, 200, "2.1", ""},
		{"lower grant is refused", true, []string{grant("2.1", 60000), grant("1.9", 60000)}, 409, "1.9", "fence"},
		{"revoked", true, []string{grant("2.1", 60000), `{"revoke":["a/1"]}`}, 200, "2.1", "lapsed"},
		{"lower grant after revocation", true,
			[]string{grant("2.1", 60000), `{"revoke":["a/1"]}`, grant("2.0", 60000)}, 409, "2.0", "fence"},
		{"without checks", false, []string{grant("2.1", 0), grant("1.9", 0)}, 200, "1.8", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startTarget(t, Config{CheckFences: c.checks, ServiceTimes: map[string]time.Duration{"": time.Millisecond}})
			status := 0
			for _, body := range c.grants {
				status, _, _ = f.call(t, "PUT", "/v1/grants", body)
			}
			if status != c.status {
				t.Errorf("last grant: status %d, want %d", status, c.status)
			}
			status, reason, _ := f.call(t, "GET", "/work/s/k", "", "Auburnrelay-Slice: a/1", "Auburnrelay-Fence: "+c.fence)
			if reason != c.want || (reason == "") != (status == http.StatusOK) {
				t.Errorf("work: status %d, reason %q, want %q", status, reason, c.want)
			}
			if ran := len(f.log.After(0)) > 0; ran != (c.want == "") {
				t.Errorf("executed: %v", ran)
			}
		})
	}
}

// TestLongAnswerIsWholeAndDone checks that a long response has the expected content, is not sent above its rate
// and is logged as done.
func TestLongAnswerIsWholeAndDone(t *testing.T) {
	const size = 100_000
	f := startTarget(t, Config{ServiceTimes: map[string]time.Duration{"": time.Millisecond}})
	began := time.Now()
	_, _, body := f.call(t, "GET", "/work/hub/m7/manual?bytes=100000&rate=1000000", "")
	if body != string(Content("m7", 0, size)) {
		t.Errorf("got %d bytes", len(body))
	}
	// Each chunk waits until the chunks before it are due; the last chunk's own time is not
	// waited for.
	if took, minimum := time.Since(began), (size-chunkBytes)*time.Microsecond; took < minimum {
		t.Errorf("took %v, want at least %v", took, minimum)
	}
	eventually(t, "the end is logged", func() bool { return len(f.log.After(0)) == 2 })
	if got := f.log.After(1)[0].Outcome; got != execlog.Done {
		t.Errorf("outcome %q", got)
	}
}
