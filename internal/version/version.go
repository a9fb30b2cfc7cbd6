// Package version says which larchscale this is.
package version

// Number is raised with each entry of CHANGELOG.md.
const Number = "0.2.0"
