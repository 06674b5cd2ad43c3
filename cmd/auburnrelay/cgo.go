package main

// The import links the program to the C library, as the platform's machines need it.

import "C"
