// Package exampler makes the example deployments: catalogue shards and host settings of their real sizes.
package exampler
