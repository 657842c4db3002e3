// Package watcher reads and watches the platform's configuration service.
package watcher
