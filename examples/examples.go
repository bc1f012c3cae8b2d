// Package examples embeds example declarations for two firms that use the
// scheduler, fraser and easement, and example jobs. Tests and the program stand
// use them.
package examples

import "embed"

// Sets holds directories of declarations: one for each firm, and the directory
// first with a small set that fits on one worker.
//
//go:embed first fraser easement
var Sets embed.FS

// Jobs holds jobs in the directory jobs, one in each file.
//
//go:embed jobs
var Jobs embed.FS
