// Package translator turns the reducer's messages into their wire form and back.
package translator
