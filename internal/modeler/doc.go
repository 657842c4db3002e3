// Package modeler models one engine that serves many adapters with continuous batching, and the store it loads from.
package modeler
