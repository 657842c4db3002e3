// Package decoder reads strict YAML documents and reports each fault with its file, line and field.
package decoder
