// Mulberrylever serves language-model requests and plain service calls over
// spare hardware, and gives operators their commands.
package main

import (
	"os"

	"github.com/mulberrylever/mulberrylever/internal/command/commander"
)

// release is set by the build.
var release = "dev"

func main() { os.Exit(commander.New(release).Run(os.Args[1:])) }
