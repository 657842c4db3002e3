// Package configurer reads and checks the settings of a host.
package configurer
