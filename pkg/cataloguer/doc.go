// Package cataloguer holds the types of what operators publish: routes, services, client accounts and backend servers.
package cataloguer
