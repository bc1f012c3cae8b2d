// Package examples holds the declared sets of the two first firms, and jobs
// to submit to them. Tests and the program stand use them.
package examples

import "embed"

// Sets holds one directory of declarations for each firm.
//
//go:embed fraser easement
var Sets embed.FS

// Jobs holds one job in each file.
//
//go:embed jobs
var Jobs embed.FS
