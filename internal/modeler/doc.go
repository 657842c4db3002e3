// Package modeler holds simple models of the systems that redwingpick serves, for stand-ins and for runs in virtual time.
package modeler
