// Package command holds the commands of the auburnrelay program. They reach the outside
// only through Dependencies, so that a test runs whole sessions in its own process.
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

// Dependencies is what the commands use of the outside.
type Dependencies struct {
	// RunNode runs a node until ctx ends or a part of it fails.
	RunNode func(ctx context.Context, s *settings.Settings) error
	// OpenStore connects to the object store at url.
	OpenStore func(url string) (objects.Store, error)
	// Pause waits before a store call is tried again; it fails when ctx ends.
	Pause func(ctx context.Context, try int) error
	// HTTP asks nodes for their status.
	HTTP *http.Client
	// Now is the operator's wall clock.
	Now func() time.Time
	// NewID returns a fresh identifier that sorts by time.
	NewID func() string
	// User is the name of the operator when no flag gives it.
	User string
	// StoreURL is the store's URL when no flag gives it.
	StoreURL string
	Out, Err io.Writer
}

var (
	// ErrRefused reports that the command did nothing, for the reason it printed.
	ErrRefused = errors.New("refused")
	// ErrUsage reports a command line that cannot be understood.
	ErrUsage = errors.New("usage")
)

// program is the state that the commands of one run share.
type program struct {
	Dependencies
	storeURL string
}

// New returns the root command.
func New(d Dependencies) *cobra.Command {
	p := &program{Dependencies: d}
	root := &cobra.Command{
		Use:   "auburnrelay",
		Short: "Route requests to servers that own their keys exclusively",
		Long: `auburnrelay routes requests to servers that own their keys exclusively.

"auburnrelay node" runs beside each target. Operators steer it by the morning sheet
("sheet") and by planned stops ("stop"), watch it ("status"), follow a request through the
logs ("explain") and print the monthly
account ("account"). Commands of operators find the object store by --store or the
environment variable AUBURNRELAY_STORE.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(d.Out)
	root.SetErr(d.Err)
	root.PersistentFlags().StringVar(&p.storeURL, "store", d.StoreURL, "URL of the object store")
	root.AddCommand(p.nodeCommand(), p.sidecarCommand(), p.configCommand(), p.sheetCommand(), p.stopCommand(),
		p.statusCommand(), p.accountCommand(), p.explainCommand())
	return root
}

// asGroup makes a command that only groups others refuse what it does not know.
func asGroup(c *cobra.Command) *cobra.Command {
	c.Args = cobra.NoArgs
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	return c
}

// openStore connects to the store that the flags name.
func (p *program) openStore() (objects.Store, error) {
	if p.storeURL == "" {
		return nil, errors.Wrap(ErrUsage, "no object store: give --store URL or set AUBURNRELAY_STORE")
	}
	return p.OpenStore(p.storeURL)
}
