// Package checker checks settings and configuration files for operators.
package checker

import (
	"fmt"
	"os"

	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// Check checks the file at path and returns its kind. A file with a field vm,
// domain or platform is a settings file.
func Check(path string) (kind string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read %q: %w", path, err)
	}
	kind = "configuration"
	if parser.HasField(data, "vm") || parser.HasField(data, "domain") || parser.HasField(data, "platform") {
		kind = "settings"
		_, err = loader.Parse(data)
	} else {
		_, err = configurer.Parse(data)
	}
	if err != nil {
		return kind, fmt.Errorf("%s: %s: %w", path, kind, err)
	}
	return kind, nil
}
