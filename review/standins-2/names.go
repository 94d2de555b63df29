package main

import (
	_ "embed"
	"strings"
)

// sealName is the name of the header that marks the answers of engines.
//
//go:embed names.txt
var sealName string

var sealHeader = strings.TrimSpace(sealName)
