package storelink

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

func TestLostStoreDoesNotCutAPollThatArrives(t *testing.T) {
	receiving, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			<-release
			return
		}
		fmt.Fprint(w, `{"events":[{"object":{"meta":{"name":"main","rev":7},`)
		w.(http.Flusher).Flush()
		close(receiving)
		time.Sleep(directTimeout + 150*time.Millisecond)
		fmt.Fprint(w, `"spec":1}}],"current-rev":7}`)
	}))
	defer server.Close()
	defer close(release)
	s := newTestStore(objectstore.New(server.URL, objectstore.Options{}))
	go func() {
		<-receiving
		_, err := s.Put(context.Background(), "nodes/a", nil, 0, "w")
		if !errors.Is(err, objects.ErrUnknownOutcome) || s.IsDirect() {
			t.Errorf("write without a response: %v, direct %v", err, s.IsDirect())
		}
	}()
	batch, err := s.Poll(context.Background(), objectstore.ConfigKind+"/", 6)
	if err != nil || len(batch.Events) != 1 || batch.Next != 7 {
		t.Errorf("got %+v, %v", batch, err)
	}
}
