// Package decoder decodes YAML documents strictly; its errors state the file, the line and the field.
package decoder
