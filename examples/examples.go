// Package examples holds the declared sets of the two first firms, and jobs
// to submit to them. Tests and the program stand use them.
package examples

import "embed"

// Sets holds directories of declarations: one for each firm, and a first small
// one.
//
//go:embed first fraser easement
var Sets embed.FS

// Jobs holds one job in each file.
//
//go:embed jobs
var Jobs embed.FS
