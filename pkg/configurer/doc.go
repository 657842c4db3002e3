// Package configurer reads and checks the settings file of a host.
package configurer
