// Package cataloguer defines the types of the published configuration: routes, services, client accounts, backend servers and adapter
// versions.
//
// The types are independent of any wire format; package platform decodes the items of the configuration service into them.
package cataloguer
