// Package tool implements verbenaseam, the operator's command line tool. Its exit status
// is 0 for success, 1 if refused or failed or if a check has findings, 2 for a usage
// error, and 3 if no entry could be reached.
package tool
