// Command auburnrelay is the node daemon and the command line for operators.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/command"
	"github.com/auburnrelay/auburnrelay/node/settings"
	"github.com/auburnrelay/auburnrelay/objects"
)

// statusTimeout is the timeout of a status request to one node.
const statusTimeout = 2 * time.Second

// runNode and openStore are set in wiring.go, which links the daemon and the store client.
var (
	runNode = func(context.Context, *settings.Settings) error {
		return errors.New("this build does not include the node daemon")
	}
	openStore = func(string) (objects.Store, error) {
		return nil, errors.New("this build does not include a store client")
	}
)

func main() {
	root := command.New(command.Dependencies{
		RunNode:   runNode,
		OpenStore: openStore,
		Pause:     command.Sleep,
		HTTP:      &http.Client{Timeout: statusTimeout},
		Now:       time.Now,
		NewID:     func() string { return ulid.Make().String() },
		User:      userName(),
		StoreURL:  os.Getenv("AUBURNRELAY_STORE"),
		Out:       os.Stdout,
		Err:       os.Stderr,
	})
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "auburnrelay: %v\n", err)
		os.Exit(1)
	}
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
