// Package agent implements the process that runs beside each target and forwards
// requests to its engine or plain service. The agent makes the final admission
// decision, whatever state an entry holds about the target.
package agent
