// Command demo runs the whole system on this machine as separate processes, checks its
// guarantees and exits non-zero if one does not hold.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/demo"
)

func main() {
	options := demo.Options{Out: os.Stdout}
	c := &cobra.Command{
		Use:           "demo --bin FOLDER",
		Short:         "Run the whole system on this machine and check its guarantees",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return demo.Run(options) },
	}
	c.Flags().StringVar(&options.Bin, "bin", "build", "folder of the built programs")
	c.Flags().BoolVar(&options.Miswire, "miswire", false, "connect one target to another VM's node; the run must fail")
	c.Flags().BoolVar(&options.Keep, "keep", false, "keep settings and logs")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
