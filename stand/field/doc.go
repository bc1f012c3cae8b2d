// Package field holds the tests of the programs on the platform: real entries
// and agents on loopback, against the stand-ins metastore and hostrunner. The
// tests of the packages below the root need none of this.
package field
