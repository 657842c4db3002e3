// Package cloner makes deep copies of plain exported structs, on which decisions can be tried without changing the original.
package cloner
