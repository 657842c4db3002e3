package decoder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError is an error in one field of a YAML document.
type FieldError struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field joined by dots, or only its key for an error of the YAML decoder; "document" stands for the whole
	// document.
	Field  string
	Reason string
}

// Error returns the error as "file:line: field: reason".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Document is a decoded value with the positions of its fields in the file.
type Document[T any] struct {
	File  string
	Value T
	root  *yaml.Node
}

var errorLinePattern = regexp.MustCompile(`line (\d+): (.*)`)
var unknownFieldPattern = regexp.MustCompile(`field (\S+) not found`)

// Decode decodes data, which holds one YAML document, and rejects unknown fields, repeated keys and wrong types.
// The file is only used in errors; every error is a *FieldError.
func Decode[T any](file string, data []byte) (Document[T], error) {
	document := Document[T]{File: file}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return document, toFieldError(file, nil, err)
	}
	if len(root.Content) == 0 {
		return document, &FieldError{File: file, Line: 1, Field: "document", Reason: "is empty"}
	}
	document.root = root.Content[0]
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&document.Value); err != nil {
		return document, toFieldError(file, document.root, err)
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return document, &FieldError{File: file, Line: max(extra.Line, 1), Field: "document", Reason: "only one document is allowed"}
	}
	return document, nil
}

// ErrorAt returns a FieldError for the field at path, whose elements are mapping keys and decimal sequence indexes.
// A field that is absent gets the line of its nearest parent.
func (d Document[T]) ErrorAt(reason string, path ...string) *FieldError {
	return &FieldError{File: d.File, Line: lineAt(d.root, path), Field: strings.Join(path, "."), Reason: reason}
}

func lineAt(node *yaml.Node, path []string) int {
	line := 1
	for _, part := range path {
		if node == nil {
			return line
		}
		line = node.Line
		next := child(node, part)
		if next == nil {
			return line
		}
		node = next
		line = node.Line
	}
	return line
}

func child(node *yaml.Node, part string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(part)
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}

func toFieldError(file string, root *yaml.Node, err error) error {
	text := err.Error()
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) && len(typeError.Errors) > 0 {
		text = typeError.Errors[0]
	}
	match := errorLinePattern.FindStringSubmatch(text)
	if match == nil {
		return &FieldError{File: file, Line: 1, Field: "document", Reason: text}
	}
	line, _ := strconv.Atoi(match[1])
	if unknown := unknownFieldPattern.FindStringSubmatch(match[2]); unknown != nil {
		return &FieldError{File: file, Line: line, Field: unknown[1], Reason: "unknown field"}
	}
	return &FieldError{File: file, Line: line, Field: fieldAt(root, line), Reason: match[2]}
}

func fieldAt(node *yaml.Node, line int) string {
	if node == nil {
		return "document"
	}
	name := ""
	for i, c := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 0 {
			if c.Line == line {
				name = c.Value
			}
			continue
		}
		if inner := fieldAt(c, line); inner != "document" {
			name = inner
		}
	}
	if name == "" {
		return "document"
	}
	return name
}
