package command

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/node/sidecar"
	"github.com/auburnrelay/auburnrelay/platform"
)

func (p *program) sidecarCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "sidecar [--settings FILE]",
		Short: "Run the node beside a target on the platform",
		Long: `Run the node beside a target on the platform until SIGTERM or SIGINT. Unlike
"auburnrelay node", it routes requests by the platform's configuration, without cells
and without a sheet.

The settings file is given by --settings or, without it, by the environment
variable ` + platform.SettingsEnv + `. The node does not start if the settings are invalid.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsEnv)
			}
			if path == "" {
				return errors.New("no settings file: give --settings or set " + platform.SettingsEnv)
			}
			s, err := sidecar.LoadSettings(path)
			if err != nil {
				return err
			}
			d, err := sidecar.New(s, p.Out)
			if err != nil {
				return err
			}
			return d.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "", "the node's settings file (TOML)")
	return c
}
