// Package clocker tells the time that all decisions are made by.
package clocker
