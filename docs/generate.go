// Package docs holds the pages for operators and contributors. Two of them are
// made from tables in the code.
package docs

//go:generate go run ../internal/tools/gendocs results RESULTS.md
//go:generate go run ../internal/tools/gendocs settings SETTINGS.md
