// Package examples holds the configuration files of both users, for the demo and
// for tests.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed clarach/*.ini qazbake/*.ini
var files embed.FS

// Names of the examples.
const (
	Clarach = "clarach"
	Qazbake = "qazbake"
)

// DemoKey returns the key of a team in the examples.
func DemoKey(team string) string { return "demo-" + team }

// Files returns the files of an example, name to text.
func Files(name string) (map[string]string, error) {
	paths, err := fs.Glob(files, name+"/*.ini")
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no example %q", name)
	}
	texts := make(map[string]string, len(paths))
	for _, path := range paths {
		text, err := files.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("example: %w", err)
		}
		texts["examples/"+path] = string(text)
	}
	return texts, nil
}
