// Command quetzalweir is the entry host and its tools in one binary.
package main

import (
	"os"

	"github.com/quetzalweir/quetzalweir/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
