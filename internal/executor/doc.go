// Package executor runs the reducer on one control goroutine and carries out its effects on other goroutines.
package executor
