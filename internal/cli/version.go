package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run(s *streams) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("the binary has no build information")
	}
	fmt.Fprintf(s.out, "quetzalweir %s %s\n", info.Main.Version, info.GoVersion)
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
			fmt.Fprintf(s.out, "%s %s\n", setting.Key, setting.Value)
		}
	}
	return nil
}
