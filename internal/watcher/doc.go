// Package watcher reads the platform's configuration service.
package watcher
