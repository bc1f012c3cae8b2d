// Package elector finds the other entries through the store, watches the owner
// of the flows, and has package conductor take over when the owner is gone or
// cannot reach the store while this entry can.
package elector
