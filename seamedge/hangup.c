#include <signal.h>

// ignore_hangup runs before the Go runtime starts.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
