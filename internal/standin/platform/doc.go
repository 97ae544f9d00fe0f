// Package platform is a small stand-in for what entries and agents use of a
// platform: a transactional table and a lagging list of hosts, in memory, with
// faults that are set as fields. The stand-in of the users' store, over HTTP, is
// platform/standin.
package platform
