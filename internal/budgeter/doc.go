// Package budgeter decides which clients may make a host hold more bytes or keep a connection, and which of them are dropped when there is too little
// room.
package budgeter
