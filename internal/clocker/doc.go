// Package clocker provides the clock on which all decisions are based.
package clocker
