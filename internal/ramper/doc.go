// Package ramper finds how many concurrent requests a backend server takes after it has started or recovered, from how it answers.
package ramper
