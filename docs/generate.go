// Package docs holds the pages for operators and contributors. RESULTS.md and SETTINGS.md are
// generated from tables in the code.
package docs

//go:generate go run ../internal/tools/gendocs results RESULTS.md
//go:generate go run ../internal/tools/gendocs settings SETTINGS.md
