// Package core is the root of the decision packages.
//
// Packages below it hold decisions only: they do no I/O, start no goroutines and
// read no clock. Time is passed in, effects are returned as values.
package core
