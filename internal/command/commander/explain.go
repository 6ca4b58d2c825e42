package commander

import (
	"fmt"
	"os"

	"github.com/mulberrylever/mulberrylever/internal/command/explainer"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" description:"the request's id"`
		Files   []string `positional-arg-name:"FILE" required:"1" description:"logs of entry VMs"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the history of one request.
func (ec *explainCommand) Execute([]string) error {
	ex := &explainer.Explainer{Request: ec.Args.Request}
	for _, path := range ec.Args.Files {
		if err := readLog(ex, path); err != nil {
			return err
		}
	}
	return ex.Write(os.Stdout)
}

func readLog(ex *explainer.Explainer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	if err := ex.Read(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
