//go:build soak

package dialer

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"strings"
	"syscall"
)

// PathsVariable names the environment variable with the path of a file that says which
// paths are cut in a soak. Each line has what happens to a new connection, "refuse" or
// "hang", and a prefix of the addresses.
const PathsVariable = "MULBERRYLEVER_SOAK_PATHS"

// checkPath refuses or delays a new connection whose path is cut.
func checkPath(ctx context.Context, address string) error {
	text, err := os.ReadFile(os.Getenv(PathsVariable))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		how, prefix, _ := strings.Cut(strings.TrimSpace(line), " ")
		if prefix == "" || !strings.HasPrefix(address, prefix) {
			continue
		}
		if how == "hang" {
			<-ctx.Done()
			return syscall.ETIMEDOUT
		}
		return syscall.ECONNREFUSED
	}
	return nil
}
