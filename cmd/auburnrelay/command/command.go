// Package command implements the commands of the auburnrelay program. They access the store,
// the nodes and the clock only through Dependencies, so that tests can run them in-process.
package command

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/node/settings"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Dependencies holds the external services that the commands use.
type Dependencies struct {
	// RunNode runs a node until ctx ends or one of its components fails.
	RunNode func(ctx context.Context, s *settings.Settings) error
	// OpenStore connects to the object store at url.
	OpenStore func(url string) (objects.Store, error)
	// Pause waits before a retry of a store call; it returns an error when ctx ends.
	Pause func(ctx context.Context, try int) error
	// HTTP is the client for status requests to nodes.
	HTTP *http.Client
	// Now returns the operator's wall-clock time.
	Now func() time.Time
	// NewID returns a new unique identifier; identifiers sort by time.
	NewID func() string
	// User is the default of the flag for the operator's name.
	User string
	// StoreURL is the default of the flag for the store's URL.
	StoreURL string
	// Out and Err are standard output and standard error.
	Out, Err io.Writer
}

var (
	// ErrRefused reports that the command changed nothing because a check failed.
	ErrRefused = errors.New("refused")
	// ErrUsage reports an invalid command line.
	ErrUsage = errors.New("invalid command line")
)

// program is the state shared by all commands.
type program struct {
	Dependencies
	storeURL string
}

// New returns the root command with all subcommands.
func New(d Dependencies) *cobra.Command {
	p := &program{Dependencies: d}
	root := &cobra.Command{
		Use:   "auburnrelay",
		Short: "Route requests to servers that own their keys exclusively",
		Long: `auburnrelay routes requests to servers that own their keys exclusively.

"auburnrelay node" runs beside each target. Operators define services and key
ranges in a sheet ("sheet"), plan stops of machines ("stop"), check the nodes ("status"),
explain the outcome of a request from the logs ("explain"), ask a node where it would
send one ("where") and print the monthly account of outcomes ("account"). These commands use the object store given by --store
or by the environment variable AUBURNRELAY_STORE.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(d.Out)
	root.SetErr(d.Err)
	root.PersistentFlags().StringVar(&p.storeURL, "store", d.StoreURL, "URL of the object store")
	root.AddCommand(p.nodeCommand(), p.sidecarCommand(), p.configCommand(), p.sheetCommand(), p.stopCommand(),
		p.statusCommand(), p.accountCommand(), p.explainCommand(), p.whereCommand())
	return root
}

// groupCommand makes a command that only groups others print its help, and reject unknown
// subcommands.
func groupCommand(c *cobra.Command) *cobra.Command {
	c.Args = cobra.NoArgs
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	return c
}

// openStore connects to the store of the --store flag. It returns ErrUsage if there is none.
func (p *program) openStore() (objects.Store, error) {
	if p.storeURL == "" {
		return nil, errors.Wrap(ErrUsage, "no object store: give --store URL or set AUBURNRELAY_STORE")
	}
	return p.OpenStore(p.storeURL)
}
