// Package prefixer estimates how much of a prompt a server still has cached, from the prompts that were sent there. It keeps plain state without I/O.
package prefixer
