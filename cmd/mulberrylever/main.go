// Mulberrylever is a proxy and scheduler for language-model requests and plain
// service calls on spare hardware. The same binary holds the operators' commands.
package main

import (
	"os"

	"github.com/mulberrylever/mulberrylever/internal/command/commander"
)

// release is set at build time with -ldflags "-X main.release=...".
var release = "dev"

func main() { os.Exit(commander.New(release).Run(os.Args[1:])) }
