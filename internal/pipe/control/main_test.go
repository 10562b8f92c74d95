package control_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one thread at a time.
//
// Hundreds of goroutines on several threads have ended these tests in the race detector itself (ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp:346, about the slots that its threads take from each other). It finds races by the order of
// synchronisation and not by timing, so that they are found on one thread as well.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
