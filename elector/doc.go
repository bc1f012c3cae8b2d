// Package elector elects the owner of the flows among the entries. It finds the
// other entries through the store, checks the owner's health, and takes over
// with a new conductor (package conductor) when the owner has failed, or cannot
// reach the store while this entry can.
package elector
