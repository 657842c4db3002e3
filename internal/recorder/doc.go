// Package recorder writes the numbered log events of the daemons and holds their catalogue.
package recorder
