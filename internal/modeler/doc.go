// Package modeler contains simple models of an inference engine, of the orders that a backend server receives, and of the configuration
// service. Stand-ins and simulations in virtual time use them.
package modeler
