package httpstore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// TestPollOfASilentStoreEnds polls a store that takes connections and never answers, as one
// whose machine has frozen or was cut off.
func TestPollOfASilentStoreEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := New("http://"+listener.Addr().String(), Options{PollWait: time.Millisecond})
	ended := make(chan error, 1)
	go func() {
		_, err := s.Poll(context.Background(), "a", 0)
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, objects.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	case <-time.After(2 * pollMargin):
		t.Error("the poll hangs")
	}
}

// TestAnswersOfAWrite checks what each answer to a write says of its outcome.
func TestAnswersOfAWrite(t *testing.T) {
	rows := []struct {
		name    string
		status  int
		version string
		want    error
	}{
		{"written", 200, "7", nil},
		{"without a version", 200, "", objects.ErrUnknownOutcome},
		{"conflict", 409, "", objects.ErrConflict},
		{"too large", 413, "", objects.ErrTooLarge},
		{"above the rate", 429, "", objects.ErrUnavailable},
		{"down", 503, "", objects.ErrUnavailable},
		{"failure of the store", 500, "", objects.ErrUnknownOutcome},
		{"failure on the way", 502, "", objects.ErrUnknownOutcome},
	}
	for _, row := range rows {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderVersion, row.version)
			w.WriteHeader(row.status)
		}))
		version, err := New(server.URL, Options{}).Put(context.Background(), "a", nil, 1, "w")
		server.Close()
		if row.want == nil && (err != nil || version != 7) || row.want != nil && !errors.Is(err, row.want) {
			t.Errorf("%s: got version %d, error %v", row.name, version, err)
		}
	}
}
