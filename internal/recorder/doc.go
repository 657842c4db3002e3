// Package recorder writes the numbered log events of the daemon and holds their catalogue.
package recorder
