// Package renderer writes a burn report as text or as one HTML page that
// needs nothing else. It is apart from package reporter so that entries do
// not link the drawing library.
package renderer
