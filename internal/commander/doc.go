// Package commander holds the commands of the operators' client.
package commander
