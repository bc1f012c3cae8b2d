// Package field tests entries and agents together on the platform's interface.
// They run within the test process on loopback addresses, against the stand-ins
// of packages metastore and hostrunner. The tests of the packages below the root
// need neither.
package field
