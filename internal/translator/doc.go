// Package translator encodes the reducer's messages to protobuf and decodes them.
package translator
