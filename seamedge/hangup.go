package main

// A hangup that the C code ignores before the Go runtime starts stays ignored until
// the program listens for it.

import "C"
