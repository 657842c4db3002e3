// Package estimator measures how the cost of a host grows with the size of its fleet and fits slopes to it.
package estimator
