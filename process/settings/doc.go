// Package settings reads and validates the static INI settings of the daemons. All
// errors of a file are reported together, each with file, section, key and the
// expected value. Settings do not change during the life of a process; what operators
// change at run time is in the configuration tables.
package settings
