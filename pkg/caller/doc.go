// Package caller asks the fleet which hosts to use and sends requests to them.
package caller
