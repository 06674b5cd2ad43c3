package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/node/settings"
)

func (p *program) nodeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run the node beside the target of this VM",
		Long: `Run the node beside the target of this VM until SIGTERM or SIGINT. The node joins a
cell and routes requests by the accepted sheet.

The first signal stops the node gracefully: it hands over its keys and finishes the
requests in flight. A second signal ends it at once. The node does not start if the
settings are invalid.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return p.RunNode(c.Context(), s)
		},
	}
	addSettingsFlag(c, &path)
	return c
}

func (p *program) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check or print a node's settings"}
	c.AddCommand(p.configCheckCommand(), p.configPrintCommand())
	return groupCommand(c)
}

func (p *program) configCheckCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and list all faults",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if _, err := settings.Load(path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(p.Out, "%s: no faults\n", path)
			return err
		},
	}
	addSettingsFlag(c, &path)
	return c
}

func (p *program) configPrintCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "print --settings FILE",
		Short: "Print the settings including defaults",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			text, err := s.Print()
			if err != nil {
				return err
			}
			_, err = p.Out.Write(text)
			return err
		},
	}
	addSettingsFlag(c, &path)
	return c
}

func addSettingsFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "settings", "", "the node's settings file (TOML)")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
}
