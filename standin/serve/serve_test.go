package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

const testDeadline = 5 * time.Second

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestSignalCutsNoRequest sends SIGTERM while a request runs. That request must be answered completely, and
// requests that arrive while OnStop runs must still be accepted.
func TestSignalCutsNoRequest(t *testing.T) {
	address := freeAddress(t)
	started, finish := make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	mux.HandleFunc("/quick", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "taken") })
	stopping, drained := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		ended <- UntilSignal(address, mux, Options{DrainTimeout: testDeadline, OnStop: func(context.Context) {
			close(stopping)
			<-drained
		}})
	}()
	get := func(path string) string {
		for end := time.Now().Add(testDeadline); ; time.Sleep(time.Millisecond) {
			response, err := http.Get("http://" + address + path)
			if err == nil {
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				return string(body)
			}
			if time.Now().After(end) {
				return err.Error()
			}
		}
	}
	if got := get("/quick"); got != "taken" {
		t.Fatal(got)
	}
	slow := make(chan string, 1)
	go func() { slow <- get("/slow") }()
	<-started
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-stopping
	if got := get("/quick"); got != "taken" {
		t.Errorf("request during OnStop: got %q, want taken", got)
	}
	close(drained)
	select {
	case err := <-ended:
		t.Fatalf("UntilSignal returned with a request in flight: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	if got := <-slow; got != "whole" {
		t.Errorf("request in flight: got %q, want whole", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestConnectionCost checks that only the first read of a connection is delayed.
func TestConnectionCost(t *testing.T) {
	const delay = 50 * time.Millisecond
	listener, err := listen("127.0.0.1:0", Options{ConnectDelay: delay})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	call := func() time.Duration {
		began := time.Now()
		response, err := client.Get("http://" + listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return time.Since(began)
	}
	if took := call(); took < delay {
		t.Errorf("first request of a connection took %v, want at least the connect delay", took)
	}
	again := call()
	for range 4 {
		again = min(again, call())
	}
	if again >= delay {
		t.Errorf("later request of the connection took %v, want less than the connect delay", again)
	}
}
