// Command quetzalweir runs entry hosts, gateway hosts, stand-ins and the
// operators' tools.
package main

import (
	"os"

	"github.com/quetzalweir/quetzalweir/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
