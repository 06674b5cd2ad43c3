package main

// The import makes the linker link the C library, which the platform's machines require.

import "C"
