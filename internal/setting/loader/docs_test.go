package loader_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
)

// TestDocs checks that settings.md and configuration.md document every field of
// settings and configuration.
func TestDocs(t *testing.T) {
	g := gomega.NewWithT(t)
	for page, ty := range map[string]reflect.Type{
		"settings.md":      reflect.TypeFor[loader.Settings](),
		"configuration.md": reflect.TypeFor[configurer.Config](),
	} {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operators", page))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, field := range fieldsOf(ty, "") {
			g.Expect(string(text)).To(gomega.ContainSubstring("| `"+field+"` |"), page)
		}
	}
}

// fieldsOf returns the paths of all fields. TLS files and access keys are
// documented in one row each, without their own fields.
func fieldsOf(ty reflect.Type, path string) []string {
	out := []string{}
	for i := range ty.NumField() {
		name := strings.TrimPrefix(path+"."+ty.Field(i).Tag.Get("json"), ".")
		if ft := ty.Field(i).Type; ft.Kind() == reflect.Struct && ft != reflect.TypeFor[loader.TLS]() {
			out = append(out, fieldsOf(ft, name)...)
			continue
		}
		out = append(out, name)
	}
	return out
}
