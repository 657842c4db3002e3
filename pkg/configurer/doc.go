// Package configurer reads and validates the YAML settings file of a host.
package configurer
