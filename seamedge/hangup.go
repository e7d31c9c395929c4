package main

// The C code in hangup.c ignores SIGHUP before the Go runtime starts. The signal stays
// ignored until the program listens for it.

import "C"
