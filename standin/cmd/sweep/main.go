// Command sweep simulates the load policies with different values of each constant and
// prints the effect. Its output is kept in docs/design/load.md.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/core/loadsim"
)

func main() {
	sweeps := map[string]func(func(string)){
		"admission": loadsim.SweepAdmission,
		"balance":   loadsim.SweepBalance,
	}
	c := &cobra.Command{
		Use:       "sweep admission|balance",
		Short:     "Simulate a load policy with different values of its constants",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"admission", "balance"},
		Run: func(_ *cobra.Command, args []string) {
			sweeps[args[0]](func(row string) { fmt.Println(row) })
		},
	}
	if err := c.Execute(); err != nil {
		os.Exit(1)
	}
}
