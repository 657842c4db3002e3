// Package estimator estimates the service rate of backend servers from the work that they did and the time that it took.
package estimator
