package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// largeAnswerBytes is an answer that a node buffers as a whole; hugeAnswerBytes one that it does not.
	largeAnswerBytes = 100_000
	hugeAnswerBytes  = 540_000
	heartbeatEvery   = 200 * time.Millisecond
)

// target is a minimal target that accepts all granted keys, because it is the only one of its service.
type target struct {
	id, service, control, address string
	born                          int64
	sequence                      int64
	holds                         [][3]int64
	// served counts the requests that the target has received.
	served atomic.Int64
}

func startTarget(t *testing.T, id, service, control string) *target {
	t.Helper()
	x := &target{id: id, service: service, control: control, born: time.Now().UnixMilli(), holds: [][3]int64{}}
	server := httptest.NewServer(http.HandlerFunc(x.serve))
	x.address = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
	go func() {
		defer close(ended)
		client := &http.Client{Timeout: time.Second}
		for ctx.Err() == nil {
			x.heartbeat(client)
			time.Sleep(heartbeatEvery)
		}
	}()
	return x
}

func (x *target) heartbeat(client *http.Client) {
	x.sequence++
	text, _ := json.Marshal(map[string]any{
		"addr": x.address, "born": x.born,
		"info":   map[string]any{"service": x.service, "version": "v1", "zone": "z", "slots": 8},
		"status": map[string]any{"state": "ready", "seq": x.sequence, "cold-left-s": 0},
		"holds":  x.holds, "freed": []any{},
	})
	response, err := client.Post("http://"+x.control+"/rpc?call=instances.heartbeat&of="+x.id, "application/json", bytes.NewReader(text))
	if err != nil {
		return
	}
	defer response.Body.Close()
	var answer struct {
		Holds *[][4]any `json:"holds"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil || answer.Holds == nil {
		return
	}
	x.holds = [][3]int64{}
	for _, row := range *answer.Holds {
		x.holds = append(x.holds, [3]int64{int64(row[0].(float64)), int64(row[1].(float64)), int64(row[2].(float64))})
	}
}

// serve reads the request to its end and answers with as many bytes as the end of its path names.
func (x *target) serve(w http.ResponseWriter, r *http.Request) {
	x.served.Add(1)
	if answer, found := brokenAnswers[path.Base(r.URL.Path)]; found {
		answer.send(w, r)
		return
	}
	h := w.Header()
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	h.Set("X-Instance-Id", x.id)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(5 * time.Millisecond)
	h.Set("X-Response-Seal", "sealed")
	switch {
	case strings.HasSuffix(r.URL.Path, "/large"):
		_, _ = w.Write(make([]byte, largeAnswerBytes))
	case strings.HasSuffix(r.URL.Path, "/huge"):
		_, _ = w.Write(make([]byte, hugeAnswerBytes))
	default:
		_, _ = fmt.Fprintf(w, "%s %d", x.id, n)
	}
}
