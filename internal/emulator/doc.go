// Package emulator runs small stand-ins for the platform, the engines and the plain services.
package emulator
