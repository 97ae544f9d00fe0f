// Package gateway authenticates, routes and rate-limits callers' HTTP requests,
// forwards them to targets, and returns either the complete response or one
// typed failure.
//
// Requests to targets are served by net/http rather than by generated code,
// because responses are streamed and paths come from the routes table.
package gateway
