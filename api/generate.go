// Package api holds the OpenAPI documents; the code generated from them is
// committed under gen.
package api

//go:generate go tool ogen --clean --package callerapi --target gen/callerapi caller.yaml
//go:generate go tool ogen --clean --package operatorapi --target gen/operatorapi operator.yaml
//go:generate go tool ogen --clean --package engineapi --target gen/engineapi engine.yaml
