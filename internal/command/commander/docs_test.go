package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/onsi/gomega"
)

// TestDocs checks that commands.md documents every command and every option
// with its default.
func TestDocs(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operators", "commands.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pa := flags.NewNamedParser("mulberrylever", flags.HelpFlag)
	New("test").addCommands(pa)
	checkCommands(g, string(text), "", pa.Commands())
}

func checkCommands(g *gomega.WithT, page, path string, commands []*flags.Command) {
	for _, cm := range commands {
		name := path + cm.Name
		if len(cm.Commands()) > 0 {
			checkCommands(g, page, name+" ", cm.Commands())
			continue
		}
		g.Expect(page).To(gomega.ContainSubstring("`" + name))
		for _, op := range cm.Options() {
			row := fmt.Sprintf("| `--%s` | ", op.LongName)
			if len(op.Default) > 0 {
				row += op.Default[0] + " |"
			}
			g.Expect(page).To(gomega.ContainSubstring(row), name)
		}
	}
}
