// Package renderer formats a burn report as text or as one self-contained HTML
// page. It is separate from package reporter so that entries do not link the
// plotting library.
package renderer
