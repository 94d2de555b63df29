package main

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/ini"
	"github.com/heatherrail/heatherrail/settings"
)

const settingsIntro = `# Settings and configuration

Two kinds of INI files. **Settings** belong to one process: ` + "`--settings FILE`" + `; they are read and
checked at its start. **Configuration** belongs to the whole system: a directory of files that
` + "`heatherrail apply DIR`" + ` puts in force as a whole or not at all.

Each fault is reported as ` + "`file:line: section.key: what is wrong, what is allowed`" + `, all at once, and
nothing starts. Durations are written 250ms, 30s or 10m; sizes 512, 64KB, 8MB or 2GB (powers of
1,024); lists are separated by commas; switches are yes or no. Lines that begin with # or ; are
comments.
`

// section is one INI section with the struct that it is decoded into.
type section struct {
	title string
	about string
	value any
}

var settingsSections = []section{
	{"[entry]", "the process that callers talk to, heatherrail-entry", settings.Entry{}},
	{"[agent]", "the process beside a target, heatherrail-agent", settings.Agent{}},
	{"[tls]", "both daemons: keys for the connections between heatherrail processes", settings.TLS{}},
	{"[platform]", "both daemons: where the platform's services are", settings.Platform{}},
}

var configSections = []section{
	{"[fleet NAME]", "a set of targets of one kind", config.Fleet{}},
	{"[target NAME]", "one place where work can run; its address comes from the VM list", config.Target{}},
	{"[group NAME]", "a rank group", config.Group{}},
	{"[service NAME]", "what callers ask for by name", config.Service{}},
	{"[team NAME]", "a group of callers", config.Team{}},
	{"[policy NAME]", "how requests of a service are placed, retried and protected", config.Policy{}},
}

func writeSettings(b *bytes.Buffer) {
	b.WriteString(settingsIntro)
	b.WriteString("\n## Settings of a process\n")
	writeSections(b, settingsSections)
	b.WriteString("\n## Configuration\n")
	writeSections(b, configSections)
}

func writeSections(b *bytes.Buffer, sections []section) {
	for _, s := range sections {
		fmt.Fprintf(b, "\n### `%s`\n\n%s.\n\n| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n", s.title, capitalise(s.about))
		t := reflect.TypeOf(s.value)
		for i := range t.NumField() {
			writeKey(b, t.Field(i))
		}
	}
}

func writeKey(b *bytes.Buffer, f reflect.StructField) {
	name := f.Tag.Get("ini")
	if name == "" {
		return
	}
	def := f.Tag.Get("default")
	if f.Tag.Get("required") == "true" {
		def = "**required**"
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", name, typeName(f), def, allowedValues(f.Tag), capitalise(f.Tag.Get("doc")))
}

// typeName returns the name of a field's type as the page shows it to operators.
func typeName(f reflect.StructField) string {
	if f.Tag.Get("format") == "address" {
		return "IP number and port"
	}
	switch reflect.Zero(f.Type).Interface().(type) {
	case time.Duration:
		return "duration"
	case ini.Bytes:
		return "size"
	case []string:
		return "list"
	}
	switch f.Type.Kind() {
	case reflect.Bool:
		return "yes or no"
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "text"
	default:
		return "whole number"
	}
}

// allowedValues describes the values that the tags of a field allow.
func allowedValues(tag reflect.StructTag) string {
	if words := tag.Get("oneof"); words != "" {
		return strings.Join(strings.Fields(words), ", ")
	}
	low, high := tag.Get("min"), tag.Get("max")
	switch {
	case low != "" && high != "":
		return low + " to " + high
	case low != "":
		return "from " + low
	case high != "":
		return "up to " + high
	default:
		return ""
	}
}

// capitalise changes the first letter of an ASCII text to upper case.
func capitalise(s string) string {
	if s == "" {
		return s
	}
	return strings.ToUpper(s[:1]) + s[1:]
}
