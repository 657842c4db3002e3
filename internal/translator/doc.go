// Package translator turns the reducer's messages into the wire types between hosts and back.
package translator
