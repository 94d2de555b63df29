// Package examples embeds the example configurations of both users, for the demo and for
// tests.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed clarach/*.ini qazbake/*.ini
var files embed.FS

// Names of the example configurations.
const (
	Clarach = "clarach"
	Qazbake = "qazbake"
)

// DemoKey returns the key of a team in the example configurations.
func DemoKey(team string) string { return "demo-" + team }

// Files returns the text of each file of an example configuration, by file name. It fails for
// an unknown example.
func Files(name string) (map[string]string, error) {
	paths, err := fs.Glob(files, name+"/*.ini")
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("unknown example %q", name)
	}
	texts := make(map[string]string, len(paths))
	for _, path := range paths {
		text, err := files.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read example file: %w", err)
		}
		texts["examples/"+path] = string(text)
	}
	return texts, nil
}
